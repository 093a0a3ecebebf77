//! Runs one stream on its thread: opens connections, forwards events, and recovers from
//! failed connections.

use crate::{
    attempt::{RetryBudget, RetryDecision, RetryState},
    client::{Shared, Target},
    error::{Error, ErrorReason, Result},
    events::{self, Line},
    http::{self, OutgoingRequest, REQUEST_ID_HEADER, RESUME_HEADER},
    merger::{MergeOutcome, StreamMerger},
    stream::{FailedAttempt, StreamEvent, StreamFinish, StreamRequest, StreamStatus, Token},
};
use std::{
    io::BufReader,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::Verdict;

/// HTTP status of an upstream that doesn't know the request to be resumed, because it has
/// restarted in the meantime.
const UNKNOWN_REQUEST_STATUS: u16 = 404;

/// Receives the events of the stream; returns false when it wants no further ones.
pub(crate) type EventSink = Box<dyn FnMut(StreamEvent) -> bool + Send>;

/// How to continue after a failed connection.
enum Recovery {
    /// Resume on a new connection to the same upstream, from the next token on.
    Resume,
    /// Let `choose` select the next upstream.
    Move,
    /// Fail: every upstream would refuse the request.
    Fail,
}

/// The attempt on one upstream: the consecutive connections of the stream to it.
struct UpstreamAttempt {
    target: Target,
    /// Whether the next connection resumes the request that runs there.
    resumes: bool,
    /// Number of resumptions since the last new token.
    resumptions: u32,
    /// Whether the request may have run on this upstream.
    may_have_run: bool,
}

impl UpstreamAttempt {
    fn new(target: Target, resumes: bool) -> Self {
        Self { target, resumes, resumptions: 0, may_have_run: false }
    }
}

/// One stream, over all its connections and upstreams.
pub(crate) struct StreamRun {
    shared: Arc<Shared>,
    req: StreamRequest,
    status: StreamStatus,
    sink: EventSink,
    merger: StreamMerger,
    rng: fastrand::Rng,
    /// Whether the request may have run on any connection so far.
    may_have_run: bool,
    /// Whether the last connection has yielded a new token.
    has_progressed: bool,
    /// Whether the last upstream has restarted and lost the request.
    is_request_lost: bool,
}

impl StreamRun {
    pub(crate) fn new(
        shared: Arc<Shared>,
        req: StreamRequest,
        status: StreamStatus,
        sink: EventSink,
    ) -> Self {
        let merger = StreamMerger::new(req.id.clone(), req.first_offset);
        let rng = fastrand::Rng::with_seed(shared.stream_seed());
        let (may_have_run, has_progressed, is_request_lost) = (false, false, false);
        Self {
            shared,
            req,
            status,
            sink,
            merger,
            rng,
            may_have_run,
            has_progressed,
            is_request_lost,
        }
    }

    /// Runs the stream until its last event or until the consumer has gone. `choose` selects
    /// the upstreams; see [`Client::stream`](crate::Client::stream).
    pub(crate) fn run(mut self, mut choose: impl FnMut(Option<&FailedAttempt>) -> Option<Target>) {
        let Some(target) = choose(None) else {
            let message = "no upstream takes this request";
            return self.fail(Error::new(ErrorReason::NoUpstream, Verdict::NotRun, message), None);
        };
        self.shared.budget().deposit();
        let mut attempt = UpstreamAttempt::new(target, false);
        let mut retry = self.new_retry();
        loop {
            let error = match self.connect(&attempt) {
                Ok(()) => return,
                Err(error) => error,
            };
            self.record_failure(&mut attempt, &error);
            if self.has_progressed {
                retry = self.new_retry();
            }
            let recovery = self.choose_recovery(&attempt, &error);
            if matches!(recovery, Recovery::Fail) {
                return self.fail(error, None);
            }
            match self.next_connection_at(&mut retry, &error) {
                Ok(at) if self.wait_until(at) => {}
                Ok(_) => return,
                Err(retry_after) => return self.fail(error, Some(retry_after)),
            }
            if matches!(recovery, Recovery::Resume) {
                self.shared.counters.count_resumed_stream();
                attempt.resumptions += 1;
                attempt.resumes = true;
                continue;
            }
            let failed = self.failed_attempt(attempt, error);
            let Some(next) = choose(Some(&failed)) else {
                return self.fail(failed.error, None);
            };
            attempt = self.start_attempt(next, &failed);
        }
    }

    /// The failed attempt on an upstream, from which `choose` selects the next one.
    fn failed_attempt(&self, attempt: UpstreamAttempt, error: Error) -> FailedAttempt {
        // When the first connection broke and the next was refused, the request may still
        // have run on the first.
        let error = match attempt.may_have_run {
            true => error.with_verdict(Verdict::MayHaveRun),
            false => error,
        };
        FailedAttempt { target: attempt.target, error, next_offset: self.merger.next_offset() }
    }

    /// Starts the attempt on the next upstream, which may be the same one again.
    fn start_attempt(&mut self, next: Target, failed: &FailedAttempt) -> UpstreamAttempt {
        let is_same = next.upstream == failed.target.upstream;
        if !is_same {
            self.leave_upstream(failed);
        }
        // An upstream that refused the request never had it, and one that was down has
        // lost it. Only an upstream that still knows the request can resume it.
        let was_received = !failed.error.is_not_run();
        let is_known = was_received && !self.is_request_lost && !failed.error.is_unreachable();
        self.is_request_lost = false;
        UpstreamAttempt::new(next, is_same && is_known)
    }

    fn new_retry(&self) -> RetryState {
        // A stream is idempotent: the merger forwards each token once, however often it is
        // generated.
        RetryState::new(self.shared.cfg.backoff, true, self.req.deadline)
    }

    /// Sends the request on one connection and forwards its events until the stream has
    /// finished or the consumer has gone.
    fn connect(&mut self, attempt: &UpstreamAttempt) -> Result<()> {
        let UpstreamAttempt { target, resumes, .. } = attempt;
        self.has_progressed = false;
        if !self.status.set_running(target, &self.req.id) {
            return Ok(());
        }
        if !(self.sink)(StreamEvent::Sent(target.clone())) {
            return Ok(());
        }
        // After a failure that doesn't prove that the request did not run, such as a broken
        // connection, pooled connections may be dead too, so a new one is opened.
        let agent = match self.may_have_run {
            true => self.shared.unpooled(),
            false => self.shared.pooled(&target.address),
        };
        let mut headers = self.req.headers.clone();
        headers.push((REQUEST_ID_HEADER.to_string(), self.req.id.clone()));
        headers.push(("Content-Type".to_string(), "application/json".to_string()));
        if *resumes {
            headers.push((RESUME_HEADER.to_string(), self.merger.next_offset().to_string()));
        }
        let outgoing = OutgoingRequest {
            method: "POST",
            url: format!("http://{}{}", target.address, self.req.path),
            headers: &headers,
            body: &self.req.body,
            timeout: None,
        };
        let response = http::send(&agent, &outgoing)?;
        if *resumes && response.status() == UNKNOWN_REQUEST_STATUS {
            self.is_request_lost = true;
            return Err(incomplete("the upstream no longer knows the request"));
        }
        if response.status() != 200 {
            return Err(http::status_error(response));
        }
        self.read_events(target, response)
    }

    /// Forwards the events of a response until the stream has finished or the consumer has
    /// gone.
    fn read_events(&mut self, target: &Target, response: ureq::Response) -> Result<()> {
        let mut reader = BufReader::new(response.into_reader());
        let mut finish = None;
        loop {
            let line = events::read_line(&mut reader)?;
            let event = match line {
                Line::Done | Line::End => match finish {
                    Some(finish) => {
                        self.finish(finish);
                        // Reading to the end of the body returns the connection to the pool.
                        let _ = events::read_line(&mut reader);
                        return Ok(());
                    }
                    None => return Err(incomplete("the stream ended without a finish reason")),
                },
                Line::Comment => Some(StreamEvent::Progress),
                Line::Event(event) => self.accept_event(target, event, &mut finish)?,
            };
            if event.is_some_and(|event| !(self.sink)(event)) {
                return Ok(());
            }
        }
    }

    /// Merges one event into the stream, and returns the event for the consumer, if any. The
    /// end of the response is stored in `finish`.
    fn accept_event(
        &mut self,
        target: &Target,
        event: events::Event,
        finish: &mut Option<StreamFinish>,
    ) -> Result<Option<StreamEvent>> {
        if let Some(reason) = event.finish_reason {
            match self.merger.accept_end(&event.id, event.offset) {
                MergeOutcome::OtherRequest => return Err(self.mismatched_response()),
                MergeOutcome::Gap => return Err(incomplete("tokens are missing before the end")),
                _ if reason == "cancelled" => return Err(incomplete("cancelled by another")),
                _ => {
                    let usage = event.usage.unwrap_or_default();
                    *finish = Some(StreamFinish { target: target.clone(), reason, usage });
                }
            }
            return Ok(None);
        }
        match self.merger.accept_token(&event.id, event.offset) {
            MergeOutcome::Forward => {
                self.has_progressed = true;
                let (offset, text) = (event.offset, event.text);
                Ok(Some(StreamEvent::Token(Token { offset, text })))
            }
            MergeOutcome::Skip => Ok(Some(StreamEvent::Progress)),
            MergeOutcome::OtherRequest => Err(self.mismatched_response()),
            MergeOutcome::Gap => Err(incomplete("tokens are missing")),
        }
    }

    /// Counts and reports an event of another request. The connection is given up, because
    /// its other events may be wrong too.
    fn mismatched_response(&self) -> Error {
        self.shared.counters.count_mismatched_response();
        let message = "the answer belongs to another request";
        Error::new(ErrorReason::MismatchedResponse, Verdict::MayHaveRun, message)
    }

    /// Records a failed connection in the state of the stream and of the attempt.
    fn record_failure(&mut self, attempt: &mut UpstreamAttempt, error: &Error) {
        self.may_have_run |= !error.is_not_run();
        attempt.may_have_run |= !error.is_not_run();
        if self.has_progressed {
            attempt.resumptions = 0;
        }
        if error.is_not_run() {
            self.status.clear_running();
        }
        if error.is_timed_out() {
            self.shared.counters.count_timed_out_connection();
        }
        if !error.is_error_status() {
            self.shared.close_idle_connections(&attempt.target.address);
        }
    }

    /// Decides how to continue after a failed connection.
    ///
    /// Resumes on the same upstream. Moves on after an error status, when the upstream is
    /// unreachable or has lost the request, or when a resumption yielded no new token.
    fn choose_recovery(&self, attempt: &UpstreamAttempt, error: &Error) -> Recovery {
        let is_fresh = self.merger.next_offset() == self.req.first_offset && !self.may_have_run;
        match error.reason() {
            ErrorReason::ErrorStatus(_) if error.is_caller_fault() && is_fresh => Recovery::Fail,
            ErrorReason::Invalid => Recovery::Fail,
            ErrorReason::ErrorStatus(_) | ErrorReason::Unreachable => Recovery::Move,
            _ if self.is_request_lost => Recovery::Move,
            _ if attempt.resumptions > 0 => Recovery::Move,
            _ => Recovery::Resume,
        }
    }

    /// Returns when to open the next connection.
    ///
    /// # Errors
    ///
    /// When no further connection is allowed: the delay after which the consumer may send the
    /// request again.
    fn next_connection_at(
        &mut self,
        retry: &mut RetryState,
        error: &Error,
    ) -> Result<Instant, Duration> {
        let now = Instant::now();
        let mut budget = self.shared.budget();
        // Only error statuses count against the budget, and only after an earlier failure:
        // when an engine dies or fills up, each of its streams moves once, which is no retry
        // storm. Otherwise a fresh budget of one is used, so that this retry is always allowed.
        let is_budgeted = error.is_error_status() && retry.failed_attempts() > 0;
        let mut single_retry = RetryBudget::new(0.0, 1.0);
        let budget = if is_budgeted { &mut *budget } else { &mut single_retry };
        // The first retry after a failure other than an error status starts without delay.
        match retry.on_failure(error.verdict(), now, budget, &mut self.rng) {
            RetryDecision::RetryAt(_)
                if retry.failed_attempts() == 1 && !error.is_error_status() =>
            {
                Ok(now)
            }
            RetryDecision::RetryAt(at) => Ok(at),
            RetryDecision::GiveUp { retry_after, .. } => Err(retry_after),
        }
    }

    /// Sleeps until `at`; false when the consumer has gone by then.
    fn wait_until(&self, at: Instant) -> bool {
        let delay = at.saturating_duration_since(Instant::now());
        std::thread::sleep(delay);
        !self.status.is_closed()
    }

    /// Counts a move to another upstream, and cancels the request on the one that failed.
    fn leave_upstream(&self, failed: &FailedAttempt) {
        self.shared.counters.count_moved_stream();
        if !failed.error.is_not_run() {
            self.shared.cancel(&failed.target.address, &self.req.id);
        }
    }

    /// Sends the last event of a complete stream.
    fn finish(&mut self, finish: StreamFinish) {
        self.status.clear_running();
        (self.sink)(StreamEvent::Finished(finish));
    }

    /// Sends the last event of a failed stream. Without `retry_after`, the consumer is told to
    /// wait for the longest delay of the backoff.
    fn fail(&mut self, error: Error, retry_after: Option<Duration>) {
        let error = match self.may_have_run {
            true if error.is_not_run() => error.with_verdict(Verdict::MayHaveRun),
            _ => error,
        };
        let retry_after = retry_after.unwrap_or(self.shared.cfg.backoff.cap);
        (self.sink)(StreamEvent::Failed { error, retry_after });
    }
}

fn incomplete(message: &str) -> Error {
    Error::new(ErrorReason::Incomplete, Verdict::MayHaveRun, message)
}
