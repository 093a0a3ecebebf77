//! Engines that work in passes, simulated in virtual time without sockets.
//!
//! The model follows the published profile of the users' engines. A pass in which a request
//! decodes has a fixed number of steps. Each step decodes a token of each such request, and
//! prefills a chunk of the waiting prompts: first the parts of prompts that several engines prefill,
//! the newest one first, then whole prompts in order of arrival.
//! A pass in which no request decodes has one step. Attention compares each token of a prompt
//! with all others, so the prefill time per token grows with the length of the prompt.

use routing::EngineProfile;
use std::collections::{BTreeMap, VecDeque};
use wire::Tokens;

/// Time since the start of a run, or a duration, in milliseconds.
pub type Millis = f64;
/// Number that identifies a request in a run.
pub type RequestNumber = usize;

/// Times of the events of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestTimes {
    /// Time of its first event; `None` until then.
    pub first_event: Option<Millis>,
    /// Longest time between two consecutive events.
    pub longest_pause: Millis,
    /// Time of its last event; `None` until it has finished.
    pub ended: Option<Millis>,
    last_event: Millis,
    /// Parts of its prompt that are not yet prefilled.
    parts_remaining: usize,
    /// Tokens that are not yet generated.
    output_remaining: Tokens,
    prompt_tokens: Tokens,
}

/// Part of a prompt that an engine prefills.
#[derive(Debug)]
struct PrefillPart {
    request: RequestNumber,
    /// Index of the engine that decodes the request.
    main_engine: usize,
    tokens_remaining: f64,
    ms_per_token: f64,
}

/// Work of one engine.
#[derive(Debug, Default)]
struct Engine {
    /// Parts of prompts that it prefills together with other engines, the newest one first.
    shared_parts: VecDeque<PrefillPart>,
    /// Prompts that it prefills alone.
    whole_prompts: VecDeque<PrefillPart>,
    /// Requests that decode.
    decoding: Vec<RequestNumber>,
    /// End of the current pass, and whether requests decode in it.
    current_pass: Option<(Millis, bool)>,
}

/// Simulated engines that all have the same profile.
///
/// ```
/// use fake::PassEngines;
/// use routing::EngineProfile;
///
/// let mut engines = PassEngines::new(EngineProfile::example(), 1);
/// engines.submit(0.0, 0, 0, &[], 4_960, 68);
/// engines.advance(1_000.0);
/// let times = engines.request_times(0).expect("submitted");
/// // 34 ms of prefill in three chunks with a step each, and a pass of 34 steps to decode.
/// assert!(times.first_event.is_some_and(|at| (80.0..90.0).contains(&at)));
/// assert!(times.ended.is_some());
/// ```
#[derive(Debug)]
pub struct PassEngines {
    profile: EngineProfile,
    engines: Vec<Engine>,
    request_times: BTreeMap<RequestNumber, RequestTimes>,
}

impl PassEngines {
    /// Creates `count` idle engines.
    pub fn new(profile: EngineProfile, count: usize) -> Self {
        let engines = (0..count).map(|_| Engine::default()).collect();
        Self { profile, engines, request_times: BTreeMap::new() }
    }

    /// Adds a request to the engine with index `main_engine`, which decodes it. It and the engines
    /// with the indexes `helpers` prefill equal parts of the prompt.
    ///
    /// # Panics
    ///
    /// If an index isn't below the number of engines.
    pub fn submit(
        &mut self,
        now: Millis,
        request: RequestNumber,
        main_engine: usize,
        helpers: &[usize],
        prompt_tokens: Tokens,
        output_tokens: Tokens,
    ) {
        let parts = helpers.len() + 1;
        let ms = self.profile.prefill_time(prompt_tokens).as_secs_f64() * 1e3;
        let part = || PrefillPart {
            request,
            main_engine,
            tokens_remaining: prompt_tokens as f64 / parts as f64,
            ms_per_token: ms / prompt_tokens.max(1) as f64,
        };
        for helper in helpers {
            self.engines[*helper].shared_parts.push_front(part());
        }
        match parts {
            1 => self.engines[main_engine].whole_prompts.push_back(part()),
            _ => self.engines[main_engine].shared_parts.push_front(part()),
        }
        let times = RequestTimes {
            parts_remaining: parts,
            output_remaining: output_tokens,
            prompt_tokens,
            ..RequestTimes::default()
        };
        self.request_times.insert(request, times);
        for engine in helpers.iter().chain([&main_engine]) {
            self.start_pass(*engine, now);
        }
    }

    /// Runs the engines up to this time.
    pub fn advance(&mut self, until: Millis) {
        while let Some((engine, at)) = self.next_end().filter(|(_, at)| *at <= until) {
            self.end_pass(engine, at);
            self.start_pass(engine, at);
        }
    }

    /// Time at which the next pass of any engine ends, or `None` if all are idle.
    pub fn next_pass_end(&self) -> Option<Millis> {
        self.next_end().map(|(_, at)| at)
    }

    /// Times of a request so far, or `None` if it is unknown.
    pub fn request_times(&self, request: RequestNumber) -> Option<&RequestTimes> {
        self.request_times.get(&request)
    }

    /// Index of the engine whose pass ends next, and the time of that end.
    fn next_end(&self) -> Option<(usize, Millis)> {
        let ends = self.engines.iter().enumerate();
        let ends = ends.filter_map(|(i, engine)| engine.current_pass.map(|(at, _)| (i, at)));
        ends.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Starts a pass, unless the engine is in a pass or has nothing to do.
    fn start_pass(&mut self, engine: usize, now: Millis) {
        let Self { profile, engines, request_times } = self;
        let Engine { shared_parts, whole_prompts, decoding, current_pass } = &mut engines[engine];
        if current_pass.is_some()
            || (shared_parts.is_empty() && whole_prompts.is_empty() && decoding.is_empty())
        {
            return;
        }
        let steps = if decoding.is_empty() { 1 } else { profile.steps_per_pass };
        let context: Tokens =
            decoding.iter().map(|request| request_times[request].prompt_tokens).sum();
        let step_ms = profile.step_ms
            + profile.step_ms_per_sequence * decoding.len() as f64
            + profile.step_ms_per_thousand_context_tokens * context as f64 / 1e3;
        let mut budget_tokens = f64::from(steps) * profile.chunk_tokens as f64;
        let mut prefill_ms = 0.0;
        for part in shared_parts.iter_mut().chain(whole_prompts) {
            let chunk = part.tokens_remaining.min(budget_tokens);
            part.tokens_remaining -= chunk;
            budget_tokens -= chunk;
            prefill_ms += chunk * part.ms_per_token;
        }
        *current_pass = Some((now + f64::from(steps) * step_ms + prefill_ms, !decoding.is_empty()));
    }

    /// Ends the current pass: records its events, and starts to decode the requests whose prompts
    /// are now prefilled.
    fn end_pass(&mut self, engine: usize, now: Millis) {
        let Some((_, had_decoding)) = self.engines[engine].current_pass.take() else { return };
        if had_decoding {
            self.decode(engine, now);
        }
        // Half a token allows for rounding errors.
        let is_prefilled = |part: &PrefillPart| part.tokens_remaining < 0.5;
        let Engine { shared_parts, whole_prompts, .. } = &mut self.engines[engine];
        let mut done = Vec::new();
        for parts in [shared_parts, whole_prompts] {
            let (prefilled, remaining): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(parts).into_iter().partition(is_prefilled);
            *parts = remaining;
            done.extend(prefilled);
        }
        for part in done {
            let Some(times) = self.request_times.get_mut(&part.request) else { continue };
            times.parts_remaining -= 1;
            if times.parts_remaining == 0 {
                self.engines[part.main_engine].decoding.push(part.request);
                if part.main_engine != engine {
                    self.start_pass(part.main_engine, now);
                }
            }
        }
    }

    /// Records an event for each decoding request, and removes the finished ones.
    fn decode(&mut self, engine: usize, now: Millis) {
        let per_pass = Tokens::from(self.profile.steps_per_pass);
        let request_times = &mut self.request_times;
        self.engines[engine].decoding.retain(|request| {
            let Some(times) = request_times.get_mut(request) else { return false };
            if times.first_event.is_none() {
                times.first_event = Some(now);
            } else {
                times.longest_pause = times.longest_pause.max(now - times.last_event);
            }
            times.last_event = now;
            times.output_remaining = times.output_remaining.saturating_sub(per_pass);
            if times.output_remaining == 0 {
                times.ended = Some(now);
            }
            times.output_remaining > 0
        });
    }
}
