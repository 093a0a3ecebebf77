//! Property tests with reproducible inputs.
//!
//! Inputs come from the generators of `bolero`. Its own runner seeds them from the operating
//! system, so that a test may fail in one run and pass in the next. This runner uses consecutive
//! seeds from a fixed first one instead, so that each run has the same inputs.
//!
//! ```
//! seeded::check().with_type::<(u8, u8)>().for_each(|(a, b)| {
//!     assert_eq!(a.wrapping_add(*b), b.wrapping_add(*a));
//! });
//! ```
//!
//! A failing test prints its seed and its input. The environment variable `PROPERTY_SEED` sets
//! the first seed and `PROPERTY_ITERATIONS` the number of seeds, so
//! `PROPERTY_SEED=<seed> PROPERTY_ITERATIONS=1` reproduces a failure.

use bolero::generator::{
    self, TypeGenerator, ValueGenerator,
    bolero_generator::{
        TypeValueGenerator,
        driver::{Options, Rng},
    },
};
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::SeedableRng};
use std::{env, fmt::Debug};

/// First seed without `PROPERTY_SEED`.
const DEFAULT_FIRST_SEED: u64 = 7;
/// Number of inputs of a test without `PROPERTY_ITERATIONS`. With this many, all property tests
/// of the workspace together take less than a minute in a debug build.
const DEFAULT_ITERATIONS: u64 = 256;
/// Most random bytes that a generator may consume for one input.
const DEFAULT_MAX_INPUT_BYTES: usize = 4_096;

/// A property test that has no generator yet, made by [`check`].
#[derive(Clone, Debug)]
pub struct Check {
    max_input_bytes: usize,
}

/// A property test with a generator.
#[derive(Clone, Debug)]
pub struct Property<G> {
    generator: G,
    max_input_bytes: usize,
    iterations: u64,
}

/// Starts a property test.
pub fn check() -> Check {
    Check { max_input_bytes: DEFAULT_MAX_INPUT_BYTES }
}

impl Check {
    /// Sets how many random bytes a generator may consume for one input. By default these are
    /// 4,096.
    pub fn with_max_len(self, max_input_bytes: usize) -> Self {
        Self { max_input_bytes }
    }

    /// Generates arbitrary values of a type.
    pub fn with_type<T: TypeGenerator>(self) -> Property<TypeValueGenerator<T>> {
        self.with_generator(generator::produce())
    }

    /// Generates values with a generator.
    pub fn with_generator<G: ValueGenerator>(self, generator: G) -> Property<G> {
        Property {
            generator,
            max_input_bytes: self.max_input_bytes,
            iterations: DEFAULT_ITERATIONS,
        }
    }
}

impl<G: ValueGenerator<Output: Debug>> Property<G> {
    /// Sets the number of inputs, which `PROPERTY_ITERATIONS` overrides. By default it is 256.
    pub fn with_iterations(self, iterations: u64) -> Self {
        Self { iterations, ..self }
    }

    /// Runs the test with each input. A seed from which the generator makes no input is skipped.
    ///
    /// # Panics
    ///
    /// If the test panics, after printing the seed and the input; if `PROPERTY_SEED` or
    /// `PROPERTY_ITERATIONS` is not a number.
    pub fn for_each(self, mut test: impl FnMut(&G::Output)) {
        let first = env_number("PROPERTY_SEED").unwrap_or(DEFAULT_FIRST_SEED);
        let count = env_number("PROPERTY_ITERATIONS").unwrap_or(self.iterations);
        for seed in first..first.saturating_add(count) {
            let options = Options::default().with_max_len(self.max_input_bytes);
            let mut driver = Rng::new(Xoshiro256PlusPlus::seed_from_u64(seed), &options);
            // The generator may reject the values that it made from a seed.
            let Some(input) = self.generator.generate(&mut driver) else { continue };
            let on_failure = OnFailure(|| eprintln!("PROPERTY_SEED={seed}, input: {input:#?}"));
            test(&input);
            drop(on_failure);
        }
    }
}

/// Runs a closure if it is dropped while the thread is panicking.
struct OnFailure<F: Fn()>(F);

impl<F: Fn()> Drop for OnFailure<F> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            (self.0)();
        }
    }
}

/// Value of an environment variable, or `None` if it isn't set.
///
/// # Panics
///
/// If the value is not a number.
fn env_number(name: &str) -> Option<u64> {
    let text = env::var(name).ok()?;
    Some(text.parse().unwrap_or_else(|err| panic!("{name}={text}: {err}")))
}
