//! Kinds of requests and the load patterns made of them.

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name, as in results.
    pub name: &'static str,
    /// Mean number of requests per second. They arrive independently of each other (a Poisson
    /// process).
    pub per_s: f64,
    /// Mean length of the prompts, in tokens. The lengths have a log-normal distribution.
    pub prompt_mean: f64,
    /// Standard deviation of the natural logarithm of the length.
    pub prompt_spread: f64,
    /// Maximum length of a prompt, in tokens.
    pub prompt_max: f64,
    /// Number of events of a response, each from one pass of the engine.
    pub events: f64,
    /// Longest time to the first event that counts as on time.
    pub first_event_target_ms: u64,
    /// Longest pause between events that counts as on time.
    pub pause_target_ms: u64,
    /// Time without a first event after which callers give up; starts anew with a retry.
    pub patience_ms: u64,
    /// Total time until a response must be complete, including the one retry after a refusal.
    pub deadline_ms: u64,
    /// Worth of a request of mean length that is on time, in the units of the users' requirements.
    pub worth: f64,
    /// Worth of a request of mean length that is late.
    pub late_worth: f64,
}

/// A load pattern: phases of equal length, one after the other.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Kinds of requests that arrive in each phase.
    pub phases: Vec<Vec<RequestKind>>,
    /// Length of each phase, in seconds.
    pub phase_s: f64,
    /// Whether callers retry once after a refusal, when its `retry_after` has passed.
    pub callers_retry: bool,
}

/// Drafts: 5,000 tokens on average.
const DRAFT: RequestKind = RequestKind {
    name: "draft",
    per_s: 35.9,
    prompt_mean: 4_960.0,
    prompt_spread: 0.9,
    prompt_max: 23_800.0,
    events: 38.5,
    first_event_target_ms: 300,
    pause_target_ms: 250,
    patience_ms: 2_000,
    deadline_ms: 10_000,
    worth: 1.3,
    late_worth: 0.33,
};
/// Reviews: 45,000 tokens on average.
const REVIEW: RequestKind = RequestKind {
    name: "review",
    per_s: 2.01,
    prompt_mean: 45_000.0,
    prompt_spread: 0.5,
    prompt_max: 110_000.0,
    events: 23.1,
    first_event_target_ms: 1_500,
    pause_target_ms: 600,
    patience_ms: 6_000,
    deadline_ms: 10_000,
    worth: 3.9,
    late_worth: 0.97,
};
/// Digests: 182,000 tokens on average.
const DIGEST: RequestKind = RequestKind {
    name: "digest",
    per_s: 0.933,
    prompt_mean: 182_000.0,
    prompt_spread: 0.55,
    prompt_max: 900_000.0,
    events: 19.2,
    first_event_target_ms: 3_000,
    pause_target_ms: 1_000,
    patience_ms: 12_000,
    deadline_ms: 15_000,
    worth: 24.0,
    late_worth: 6.1,
};

/// The kind with its rate of arrival multiplied by `factor`.
fn scaled(kind: RequestKind, factor: f64) -> RequestKind {
    RequestKind { per_s: kind.per_s * factor, ..kind }
}

/// Many digests and few drafts.
fn digest_burst() -> Vec<RequestKind> {
    vec![scaled(DRAFT, 0.35), scaled(REVIEW, 1.3), scaled(DIGEST, 2.7)]
}

/// Many drafts and few digests.
fn draft_burst() -> Vec<RequestKind> {
    vec![scaled(DRAFT, 2.5), scaled(REVIEW, 0.5), scaled(DIGEST, 0.05)]
}

/// Length of a pattern of one phase, in seconds: longer than the patience of any caller.
const PHASE_S: f64 = 20.0;
/// Length of a burst on the users' heaviest days, in seconds.
const BURST_S: f64 = 9.5;

/// The heaviest load patterns of the users' first sites, with their names. Lengths, rates,
/// targets and worth come from the users' requirements.
pub fn patterns() -> Vec<(&'static str, Pattern)> {
    let single_phase =
        |kinds| Pattern { phases: vec![kinds], phase_s: PHASE_S, callers_retry: false };
    let alternating = vec![digest_burst(), draft_burst(), digest_burst()];
    vec![
        ("digests", single_phase(digest_burst())),
        ("drafts", single_phase(draft_burst())),
        ("ordinary", single_phase(vec![DRAFT, REVIEW, DIGEST])),
        ("digests-return", Pattern { callers_retry: true, ..single_phase(digest_burst()) }),
        ("turns-return", Pattern { phases: alternating, phase_s: BURST_S, callers_retry: true }),
    ]
}
