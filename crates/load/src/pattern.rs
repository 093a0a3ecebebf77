//! Load patterns.

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name.
    pub name: &'static str,
    /// Mean number of requests a second, which come independently of each other.
    pub per_s: f64,
    /// Mean length of the prompts, in tokens; they are spread log-normally.
    pub prompt_mean: f64,
    /// Standard deviation of the logarithm of the length.
    pub prompt_spread: f64,
    /// Longest prompt, in tokens.
    pub prompt_max: f64,
    /// Events of an answer, of a pass each.
    pub events: f64,
    /// Time to the first event that counts as on time.
    pub first_event_target_ms: u64,
    /// Longest pause between events that counts as on time.
    pub pause_target_ms: u64,
    /// Time without an event after which its callers leave.
    pub patience_ms: u64,
    /// Time that its callers have, with the one return after a refusal.
    pub deadline_ms: u64,
    /// Worth of a request of mean length that is on time.
    pub worth: f64,
    /// The same of one that is late.
    pub late_worth: f64,
}

/// A load pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// What comes, in turn.
    pub phases: Vec<Vec<RequestKind>>,
    /// Length of each phase.
    pub phase_s: f64,
    /// Whether refused callers come back once, when they are told to.
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

fn times(kind: RequestKind, factor: f64) -> RequestKind {
    RequestKind { per_s: kind.per_s * factor, ..kind }
}

fn digests() -> Vec<RequestKind> {
    vec![times(DRAFT, 0.35), times(REVIEW, 1.3), times(DIGEST, 2.7)]
}

fn drafts() -> Vec<RequestKind> {
    vec![times(DRAFT, 2.5), times(REVIEW, 0.5), times(DIGEST, 0.05)]
}

/// Length of a pattern of one phase, in seconds: longer than the longest wait.
const PHASE_S: f64 = 20.0;
/// Length of a burst on the users' heavy days, in seconds.
const BURST_S: f64 = 9.5;

/// The heaviest load patterns of the users' first sites, by name. Lengths, rates, targets
/// and worth are those of the users' sheets.
pub fn patterns() -> Vec<(&'static str, Pattern)> {
    let once = |kinds| Pattern { phases: vec![kinds], phase_s: PHASE_S, callers_retry: false };
    let turns = vec![digests(), drafts(), digests()];
    vec![
        ("digests", once(digests())),
        ("drafts", once(drafts())),
        ("ordinary", once(vec![DRAFT, REVIEW, DIGEST])),
        ("digests-return", Pattern { callers_retry: true, ..once(digests()) }),
        ("turns-return", Pattern { phases: turns, phase_s: BURST_S, callers_retry: true }),
    ]
}
