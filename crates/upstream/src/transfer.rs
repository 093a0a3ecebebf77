//! The thread of one stream: connections, and what follows when one fails.

use crate::{
    attempt::{RetryBudget, RetryDecision, RetryState},
    client::{Shared, Target},
    error::{Error, ErrorReason, Result},
    events::{self, Line},
    http::{self, Outgoing, REQUEST_ID_HEADER, RESUME_HEADER},
    merger::{MergedToken, StreamMerger},
    stream::{FailedAttempt, Presence, StreamEvent, StreamFinish, StreamRequest, Token},
};
use std::{
    io::BufReader,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::Verdict;

/// Status for a request that the upstream does not know: it has started anew.
const UNKNOWN: u16 = 404;

/// Takes in an event; false once nobody wants further ones.
pub(crate) type Sink = Box<dyn FnMut(StreamEvent) -> bool + Send>;

/// What follows a failed connection.
enum Recovery {
    /// A new connection to the same upstream, from the next token on.
    Resume,
    /// Another upstream, from the start.
    Move,
    /// Every upstream would say the same.
    Final,
}

/// The connections to one upstream, until the stream moves on.
struct Stay {
    target: Target,
    /// Whether the next connection takes up what runs there.
    resumes: bool,
    /// Resumptions since the last new token.
    resumptions: u32,
    may_have_run: bool,
}

impl Stay {
    fn new(target: Target, resumes: bool) -> Self {
        Self { target, resumes, resumptions: 0, may_have_run: false }
    }
}

/// One stream on its way through connections and upstreams.
pub(crate) struct Transfer {
    shared: Arc<Shared>,
    req: StreamRequest,
    presence: Presence,
    sink: Sink,
    splice: StreamMerger,
    rng: fastrand::Rng,
    /// The worst verdict of the connections so far.
    may_have_run: bool,
    /// Whether the last connection failed after forwarding a token.
    progressed: bool,
    /// Whether the last upstream has started anew since it took the request.
    is_forgotten: bool,
}

impl Transfer {
    pub(crate) fn new(
        shared: Arc<Shared>,
        req: StreamRequest,
        presence: Presence,
        sink: Sink,
    ) -> Self {
        let splice = StreamMerger::new(req.id.clone(), req.first_offset);
        let rng = fastrand::Rng::with_seed(shared.stream_seed());
        let (may_have_run, progressed, is_forgotten) = (false, false, false);
        Self { shared, req, presence, sink, splice, rng, may_have_run, progressed, is_forgotten }
    }

    /// Runs the stream to its last event.
    pub(crate) fn run(mut self, mut choose: impl FnMut(Option<&FailedAttempt>) -> Option<Target>) {
        let Some(target) = choose(None) else {
            let message = "no upstream takes this request";
            return self.fail(Error::new(ErrorReason::NoUpstream, Verdict::NotRun, message), None);
        };
        self.shared.budget().deposit();
        let mut stay = Stay::new(target, false);
        let mut retry = self.new_retry();
        loop {
            let error = match self.connect(&stay) {
                Ok(()) => return,
                Err(error) => error,
            };
            self.note_failure(&mut stay, &error);
            if self.progressed {
                retry = self.new_retry();
            }
            let recovery = self.recovery(&stay, &error);
            if matches!(recovery, Recovery::Final) {
                return self.fail(error, None);
            }
            match self.next_attempt(&mut retry, &error) {
                Ok(at) if self.wait_until(at) => {}
                Ok(_) => return,
                Err(retry_after) => return self.fail(error, Some(retry_after)),
            }
            if matches!(recovery, Recovery::Resume) {
                self.shared.counters.count_resumed();
                stay.resumptions += 1;
                stay.resumes = true;
                continue;
            }
            let failed = self.leave(stay, error);
            let Some(next) = choose(Some(&failed)) else {
                return self.fail(failed.error, None);
            };
            stay = self.arrive(next, &failed);
        }
    }

    /// What is told of an upstream that the stream leaves.
    fn leave(&self, stay: Stay, error: Error) -> FailedAttempt {
        // A refused connection after a broken one does not undo the first.
        let error = match stay.may_have_run {
            true => error.with_verdict(Verdict::MayHaveRun),
            false => error,
        };
        FailedAttempt { target: stay.target, error, next_offset: self.splice.next_offset() }
    }

    fn arrive(&mut self, next: Target, failed: &FailedAttempt) -> Stay {
        let is_same = next.upstream == failed.target.upstream;
        if !is_same {
            self.abandon(failed);
        }
        // An upstream that refused the request never had it, and one that was
        // down has forgotten it.
        let had_it = !failed.error.is_not_run();
        let is_known = had_it && !self.is_forgotten && !failed.error.is_unreachable();
        self.is_forgotten = false;
        Stay::new(next, is_same && is_known)
    }

    fn new_retry(&self) -> RetryState {
        // A stream yields each token once, however often it is generated.
        RetryState::new(self.shared.cfg.backoff, true, self.req.deadline)
    }

    /// Sends the request on one connection and reads it until the stream has
    /// finished or the consumer has gone.
    fn connect(&mut self, stay: &Stay) -> Result<()> {
        let Stay { target, resumes, .. } = stay;
        self.progressed = false;
        if !self.presence.enter(target, &self.req.id) {
            return Ok(());
        }
        if !(self.sink)(StreamEvent::Sent(target.clone())) {
            return Ok(());
        }
        // After a failure only a new connection is known to work.
        let agent = match self.may_have_run {
            true => self.shared.single(),
            false => self.shared.pooled(&target.address),
        };
        let mut headers = self.req.headers.clone();
        headers.push((REQUEST_ID_HEADER.to_string(), self.req.id.clone()));
        headers.push(("Content-Type".to_string(), "application/json".to_string()));
        if *resumes {
            headers.push((RESUME_HEADER.to_string(), self.splice.next_offset().to_string()));
        }
        let outgoing = Outgoing {
            method: "POST",
            url: format!("http://{}{}", target.address, self.req.path),
            headers: &headers,
            body: &self.req.body,
            timeout: None,
        };
        let response = http::send(&agent, &outgoing)?;
        if *resumes && response.status() == UNKNOWN {
            self.is_forgotten = true;
            return Err(broken("the upstream no longer knows the request"));
        }
        if response.status() != 200 {
            return Err(http::refusal(response));
        }
        self.read(target, response)
    }

    fn read(&mut self, target: &Target, response: ureq::Response) -> Result<()> {
        let mut reader = BufReader::new(response.into_reader());
        let mut finish = None;
        loop {
            let line = events::read_line(&mut reader)?;
            let event = match line {
                Line::Done | Line::End => match finish {
                    Some(finish) => {
                        self.finish(finish);
                        // Read to the end, the connection can be used again.
                        let _ = events::read_line(&mut reader);
                        return Ok(());
                    }
                    None => return Err(broken("the stream ended without a finish reason")),
                },
                Line::Comment => Some(StreamEvent::Progress),
                Line::Event(event) => self.take(target, event, &mut finish)?,
            };
            if event.is_some_and(|event| !(self.sink)(event)) {
                return Ok(());
            }
        }
    }

    /// Takes in one event, and gives what the consumer gets of it.
    fn take(
        &mut self,
        target: &Target,
        event: events::Event,
        finish: &mut Option<StreamFinish>,
    ) -> Result<Option<StreamEvent>> {
        if let Some(reason) = event.finish_reason {
            match self.splice.accept_end(&event.id, event.offset) {
                MergedToken::OtherRequest => return Err(self.crossed()),
                MergedToken::Gap => return Err(broken("tokens are missing before the end")),
                _ if reason == "cancelled" => return Err(broken("cancelled by another")),
                _ => {
                    let usage = event.usage.unwrap_or_default();
                    *finish = Some(StreamFinish { target: target.clone(), reason, usage });
                }
            }
            return Ok(None);
        }
        match self.splice.accept_token(&event.id, event.offset) {
            MergedToken::Forward => {
                self.progressed = true;
                let (offset, text) = (event.offset, event.text);
                Ok(Some(StreamEvent::Token(Token { offset, text })))
            }
            MergedToken::Skip => Ok(Some(StreamEvent::Progress)),
            MergedToken::OtherRequest => Err(self.crossed()),
            MergedToken::Gap => Err(broken("tokens are missing")),
        }
    }

    /// Counts a foreign event. Nothing else on that connection can be trusted.
    fn crossed(&self) -> Error {
        self.shared.counters.count_crossed();
        let message = "the answer belongs to another request";
        Error::new(ErrorReason::MismatchedResponse, Verdict::MayHaveRun, message)
    }

    fn note_failure(&mut self, stay: &mut Stay, error: &Error) {
        self.may_have_run |= !error.is_not_run();
        stay.may_have_run |= !error.is_not_run();
        if self.progressed {
            stay.resumptions = 0;
        }
        if error.is_not_run() {
            self.presence.leave();
        }
        if error.is_timed_out() {
            self.shared.counters.count_silent();
        }
        if !error.is_refused() {
            self.shared.forget(&stay.target.address);
        }
    }

    fn recovery(&self, stay: &Stay, error: &Error) -> Recovery {
        let is_fresh = self.splice.next_offset() == self.req.first_offset && !self.may_have_run;
        match error.reason() {
            ErrorReason::Refused(_) if error.is_caller_fault() && is_fresh => Recovery::Final,
            ErrorReason::Invalid => Recovery::Final,
            ErrorReason::Refused(_) | ErrorReason::Unreachable => Recovery::Move,
            _ if self.is_forgotten => Recovery::Move,
            _ if stay.resumptions > 0 => Recovery::Move,
            _ => Recovery::Resume,
        }
    }

    /// When the next connection may be made, or when the caller may come back.
    fn next_attempt(&mut self, retry: &mut RetryState, error: &Error) -> Result<Instant, Duration> {
        let now = Instant::now();
        let mut budget = self.shared.budget();
        // Only further refusals count against the budget: when an engine dies or
        // fills up, each of its streams moves once, and that is no storm.
        let is_budgeted = error.is_refused() && retry.failed_attempts() > 0;
        let mut unlimited = RetryBudget::new(0.0, 1.0);
        let budget = if is_budgeted { &mut *budget } else { &mut unlimited };
        match retry.on_failure(error.verdict(), now, budget, &mut self.rng) {
            RetryDecision::RetryAt(_) if retry.failed_attempts() == 1 && !error.is_refused() => {
                Ok(now)
            }
            RetryDecision::RetryAt(at) => Ok(at),
            RetryDecision::GiveUp { retry_after, .. } => Err(retry_after),
        }
    }

    /// Waits; false when the consumer has gone meanwhile.
    fn wait_until(&self, at: Instant) -> bool {
        let pause = at.saturating_duration_since(Instant::now());
        std::thread::sleep(pause);
        !self.presence.is_closed()
    }

    /// Cancels the request on an upstream that it has left.
    fn abandon(&self, failed: &FailedAttempt) {
        self.shared.counters.count_moved();
        if !failed.error.is_not_run() {
            self.shared.cancel(&failed.target.address, &self.req.id);
        }
    }

    fn finish(&mut self, finish: StreamFinish) {
        self.presence.leave();
        (self.sink)(StreamEvent::Finished(finish));
    }

    fn fail(&mut self, error: Error, retry_after: Option<Duration>) {
        let error = match self.may_have_run {
            true if error.is_not_run() => error.with_verdict(Verdict::MayHaveRun),
            _ => error,
        };
        let retry_after = retry_after.unwrap_or(self.shared.cfg.backoff.cap);
        (self.sink)(StreamEvent::Failed { error, retry_after });
    }
}

fn broken(message: &str) -> Error {
    Error::new(ErrorReason::Incomplete, Verdict::MayHaveRun, message)
}
