//! Engines that work in passes, in virtual time and without sockets.
//!
//! The model follows what the users publish of their engines. A pass in which a request
//! writes has a fixed number of steps; each step writes a token of each writer and reads a
//! piece of the prompts that wait, in their order, parts read for other engines first. A
//! pass without writers has one step. A prompt is compared with itself, so each of its
//! tokens costs more the longer it is.

use routing::EngineProfile;
use std::collections::{BTreeMap, VecDeque};
use wire::Tokens;

/// Milliseconds since the start of a run.
pub type Millis = f64;
/// Number of a request in a run.
pub type RequestNumber = usize;

/// What a request went through.
#[derive(Clone, Debug, Default)]
pub struct RequestTimes {
    /// When its first event came.
    pub first_event: Option<Millis>,
    /// Longest time between two of its events.
    pub longest_pause: Millis,
    /// When its last event came.
    pub ended: Option<Millis>,
    last_event: Millis,
    parts_left: usize,
    output_left: Tokens,
    prompt: Tokens,
}

#[derive(Debug)]
struct Reading {
    request: RequestNumber,
    main: usize,
    tokens_left: f64,
    ms_per_token: f64,
}

#[derive(Debug, Default)]
struct Engine {
    helping: VecDeque<Reading>,
    reading: VecDeque<Reading>,
    writers: Vec<RequestNumber>,
    /// End of the pass under way, and whether writers took part in it.
    pass: Option<(Millis, bool)>,
}

/// Engines of one profile.
///
/// ```
/// use fake::PassEngines;
/// use routing::EngineProfile;
///
/// let mut engines = PassEngines::new(EngineProfile::example(), 1);
/// engines.submit(0.0, 0, 0, &[], 4_960, 68);
/// engines.advance(1_000.0);
/// let course = engines.request_times(0).expect("submitted");
/// // 34 ms to read, three pieces with a step each, and a pass of 34 steps to write.
/// assert!(course.first_event.is_some_and(|at| (80.0..90.0).contains(&at)));
/// assert!(course.ended.is_some());
/// ```
#[derive(Debug)]
pub struct PassEngines {
    profile: EngineProfile,
    engines: Vec<Engine>,
    times: BTreeMap<RequestNumber, RequestTimes>,
}

impl PassEngines {
    /// Idle engines.
    pub fn new(profile: EngineProfile, count: usize) -> Self {
        let engines = (0..count).map(|_| Engine::default()).collect();
        Self { profile, engines, times: BTreeMap::new() }
    }

    /// Hands a request to an engine, with others that read parts of its prompt.
    pub fn submit(
        &mut self,
        now: Millis,
        request: RequestNumber,
        main: usize,
        helpers: &[usize],
        prompt: Tokens,
        output: Tokens,
    ) {
        let parts = helpers.len() + 1;
        let ms = self.profile.prefill_time(prompt).as_secs_f64() * 1e3;
        let part = || Reading {
            request,
            main,
            tokens_left: prompt as f64 / parts as f64,
            ms_per_token: ms / prompt.max(1) as f64,
        };
        for helper in helpers {
            self.engines[*helper].helping.push_back(part());
        }
        self.engines[main].reading.push_back(part());
        let course = RequestTimes {
            parts_left: parts,
            output_left: output,
            prompt,
            ..RequestTimes::default()
        };
        self.times.insert(request, course);
        for engine in helpers.iter().chain([&main]) {
            self.start_pass(*engine, now);
        }
    }

    /// Lets the engines work up to a time.
    pub fn advance(&mut self, until: Millis) {
        while let Some((engine, at)) = self.next_end().filter(|(_, at)| *at <= until) {
            self.end_pass(engine, at);
            self.start_pass(engine, at);
        }
    }

    /// When the next pass of any engine ends.
    pub fn next_pass_end(&self) -> Option<Millis> {
        self.next_end().map(|(_, at)| at)
    }

    /// What a request went through so far.
    pub fn request_times(&self, request: RequestNumber) -> Option<&RequestTimes> {
        self.times.get(&request)
    }

    fn next_end(&self) -> Option<(usize, Millis)> {
        let ends = self.engines.iter().enumerate();
        let ends = ends.filter_map(|(i, engine)| engine.pass.map(|(at, _)| (i, at)));
        ends.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn start_pass(&mut self, engine: usize, now: Millis) {
        let Self { profile, engines, times } = self;
        let Engine { helping, reading, writers, pass } = &mut engines[engine];
        if pass.is_some() || (helping.is_empty() && reading.is_empty() && writers.is_empty()) {
            return;
        }
        let steps = if writers.is_empty() { 1 } else { profile.steps_per_pass };
        let context: Tokens = writers.iter().map(|request| times[request].prompt).sum();
        let step_ms = profile.step_ms
            + profile.step_ms_per_sequence * writers.len() as f64
            + profile.step_ms_per_thousand_context_tokens * context as f64 / 1e3;
        let mut tokens = f64::from(steps) * profile.chunk_tokens as f64;
        let mut read_ms = 0.0;
        for part in helping.iter_mut().chain(reading) {
            let taken = part.tokens_left.min(tokens);
            part.tokens_left -= taken;
            tokens -= taken;
            read_ms += taken * part.ms_per_token;
        }
        *pass = Some((now + f64::from(steps) * step_ms + read_ms, !writers.is_empty()));
    }

    fn end_pass(&mut self, engine: usize, now: Millis) {
        let Some((_, had_writers)) = self.engines[engine].pass.take() else { return };
        if had_writers {
            self.write(engine, now);
        }
        let is_read = |part: &Reading| part.tokens_left < 0.5;
        let Engine { helping, reading, .. } = &mut self.engines[engine];
        let (read, left): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(helping).into_iter().partition(is_read);
        *helping = left;
        let (own, left): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(reading).into_iter().partition(is_read);
        *reading = left;
        for part in read.into_iter().chain(own) {
            let Some(course) = self.times.get_mut(&part.request) else { continue };
            course.parts_left -= 1;
            if course.parts_left == 0 {
                self.engines[part.main].writers.push(part.request);
                if part.main != engine {
                    self.start_pass(part.main, now);
                }
            }
        }
    }

    fn write(&mut self, engine: usize, now: Millis) {
        let per_pass = Tokens::from(self.profile.steps_per_pass);
        let times = &mut self.times;
        self.engines[engine].writers.retain(|request| {
            let Some(course) = times.get_mut(request) else { return false };
            if course.first_event.is_none() {
                course.first_event = Some(now);
            } else {
                course.longest_pause = course.longest_pause.max(now - course.last_event);
            }
            course.last_event = now;
            course.output_left = course.output_left.saturating_sub(per_pass);
            if course.output_left == 0 {
                course.ended = Some(now);
            }
            course.output_left > 0
        });
    }
}
