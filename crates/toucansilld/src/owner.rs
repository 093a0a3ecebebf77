//! The owner: the one daemon that sends work to an upstream.
//!
//! One thread holds the exact state of the upstreams ([`route::Fleet`]). Jobs
//! and calls run on threads of their own and talk to it by messages.

mod actor;
mod call;
mod chooser;
mod convert;
mod gang;
mod group_of;
mod job;
mod poll;
mod reconcile;
mod status;

use crate::{
    control_client::ControlClient,
    messages::{
        AliveAnnouncement, AnnouncementReply, ReclaimedRequests, ServiceCallReply,
        ServiceCallRequest,
    },
    net::Net,
    session::SessionService,
    sync::lock,
};
use actor::{Actor, OwnerMsg};
pub(crate) use convert::service_model;
use event::{EventKind, Recorder};
pub(crate) use group_of::group_of;
pub(crate) use job::{FrameSink, refused};
use kernel::{Mailbox, SharedClock};
use reconcile::Reconcilers;
use route::{OwnerDigest, Placement, Refusal};
pub(crate) use status::UpstreamStatus;
use std::{
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::Duration,
};
use upstream::{Announcement, Client, ClientConfig, Target};
use wire::{RegionId, RequestId};

/// Messages that wait for the owner's thread.
const MAILBOX: usize = 8_192;
/// Longest wait for an answer of the owner's thread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Hash of an announcement as it came, to tell a repetition from a new one.
pub(crate) fn announcement_hash(body: &[u8]) -> u64 {
    control::stable_hash(&[&String::from_utf8_lossy(body)])
}

/// Where a job was placed, with the address of each upstream in the placement.
#[derive(Clone, Debug)]
pub(crate) struct Placed {
    /// The placement with its grants.
    pub(crate) placement: Placement,
    /// One target for each grant.
    pub(crate) targets: Vec<Target>,
    /// Requests in flight on the first upstream, this one included.
    pub(crate) in_flight: usize,
}

/// A job's placement, or the final answer to it.
pub(crate) type PlacedResult = Result<Placed, Refusal>;

/// Services that the owner uses.
#[derive(Clone)]
pub(crate) struct OwnerContext {
    /// Session of this daemon.
    pub(crate) session: Arc<SessionService>,
    /// Control group.
    pub(crate) control: Arc<ControlClient>,
    /// Time line of this daemon.
    pub(crate) recorder: Arc<Recorder>,
    /// Links to other daemons.
    pub(crate) net: Arc<Net>,
    /// Clock.
    pub(crate) clock: SharedClock,
    /// Region of this daemon.
    pub(crate) region: RegionId,
    /// Data centre of this daemon.
    pub(crate) data_centre: String,
}

/// The owner service of one daemon.
pub(crate) struct Owner {
    pub(crate) cx: OwnerContext,
    tx: Mailbox<OwnerMsg>,
    pub(crate) client: Client,
    reconcilers: Reconcilers,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Owner {
    /// Starts the owner's thread and the poller of its upstreams.
    pub(crate) fn start(cx: OwnerContext) -> Arc<Self> {
        let (tx, rx) = kernel::mailbox("owner", MAILBOX);
        let actor = Actor::new(cx.clone());
        let thread = thread::spawn(move || actor.run(&rx));
        let client = Client::new(ClientConfig::default());
        let reconcilers = Reconcilers::default();
        let thread = Mutex::new(Some(thread));
        let owner = Arc::new(Self { cx, tx, client, reconcilers, thread });
        poll::start(&owner);
        owner
    }

    /// Takes in an announcement of an upstream that this daemon owns.
    pub(crate) fn announce(&self, announcement: Announcement, hash: u64) -> AnnouncementReply {
        let (reply, answer) = flume::bounded(1);
        let announcement = Box::new(announcement);
        self.send(OwnerMsg::Announce { announcement, hash, reply });
        answer
            .recv_timeout(ANSWER_TIMEOUT)
            .unwrap_or_else(|_| AnnouncementReply::Refused(String::from("the owner is busy")))
    }

    /// Takes in the repetition of an announcement.
    pub(crate) fn alive(&self, alive: AliveAnnouncement) -> AnnouncementReply {
        let (reply, answer) = flume::bounded(1);
        self.send(OwnerMsg::Alive { alive, reply });
        answer
            .recv_timeout(ANSWER_TIMEOUT)
            .unwrap_or_else(|_| AnnouncementReply::Refused(String::from("the owner is busy")))
    }

    /// Takes in claims of a former owner.
    pub(crate) fn claimed(&self, claimed: &ReclaimedRequests) {
        self.reconcilers.claim(claimed, self.cx.clock.now());
    }

    /// Calls a plain service.
    pub(crate) fn call(&self, call: &ServiceCallRequest) -> ServiceCallReply {
        call::run(self, call)
    }

    /// Runs a job and hands its frames to `sink`.
    pub(crate) fn run_job(&self, job: &crate::messages::JobRequest, sink: &mut FrameSink<'_>) {
        job::run(self, job, sink);
    }

    /// A summary for entry daemons.
    pub(crate) fn digest(&self) -> Option<OwnerDigest> {
        let (reply, answer) = flume::bounded(1);
        self.send(OwnerMsg::Digest { reply });
        answer.recv_timeout(ANSWER_TIMEOUT).ok()
    }

    /// State of each upstream, with the reason why it gets no work.
    pub(crate) fn upstreams(&self) -> Vec<UpstreamStatus> {
        let (reply, answer) = flume::bounded(1);
        self.send(OwnerMsg::Status { reply });
        answer.recv_timeout(ANSWER_TIMEOUT).unwrap_or_default()
    }

    /// Requests that wait or are in flight.
    pub(crate) fn load(&self) -> usize {
        let (reply, answer) = flume::bounded(1);
        self.send(OwnerMsg::Load { reply });
        answer.recv_timeout(ANSWER_TIMEOUT).unwrap_or_default()
    }

    /// Looks again at ownership and configuration.
    pub(crate) fn view_changed(&self) {
        self.send(OwnerMsg::ViewChanged);
    }

    /// Stops the owner's thread. Running requests go on.
    pub(crate) fn stop(&self) {
        self.send(OwnerMsg::Stop);
        if let Some(thread) = lock(&self.thread).take() {
            let _ = thread.join();
        }
    }

    pub(crate) fn send(&self, msg: OwnerMsg) {
        if let Err(err) = self.tx.send_timeout(msg, ANSWER_TIMEOUT) {
            log::error!("{err}");
        }
    }

    /// Records an event of a request. Attempts count under the request's own id.
    pub(crate) fn record(&self, kind: EventKind, request: &str, upstream: &str, text: String) {
        let base = request.split('+').next().unwrap_or(request);
        let event = self.cx.recorder.event(kind).request(base);
        let event = if upstream.is_empty() { event } else { event.upstream(upstream) };
        self.cx.recorder.record(event.text(text));
    }

    /// Submits a job and gives the channel on which its placement comes.
    pub(crate) fn submit(&self, job: route::Job) -> flume::Receiver<PlacedResult> {
        let (reply, placed) = flume::bounded(1);
        self.send(OwnerMsg::Submit { job: Box::new(job), reply });
        placed
    }

    pub(crate) fn cancelled(&self, request: &RequestId) {
        self.send(OwnerMsg::Cancelled { request: request.clone() });
    }
}
