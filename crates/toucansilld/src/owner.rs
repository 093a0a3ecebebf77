//! Owner of upstreams: the one daemon that sends requests to an upstream.
//!
//! The roster determines the owner of each group of upstreams. The owner's thread holds the
//! exact state of its upstreams ([`route::Fleet`]) and places requests on them. Each request
//! runs on a thread of its own, which exchanges messages with the owner's thread.

mod actor;
mod call;
mod chooser;
mod convert;
mod gang;
mod job;
mod ownership_group;
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
pub(crate) use job::{FrameSink, placement_failure};
use kernel::{Mailbox, SharedClock};
pub(crate) use ownership_group::ownership_group_of;
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

/// Maximum number of messages queued for the owner's thread.
const MAILBOX_CAPACITY: usize = 8_192;
/// Maximum time to wait for a reply of the owner's thread, or for room in its mailbox.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Hash of an announcement's JSON as received, which distinguishes a renewal from a change.
pub(crate) fn announcement_hash(body: &[u8]) -> u64 {
    control::stable_hash(&[&String::from_utf8_lossy(body)])
}

/// Placement of a job, with the address of each upstream in it.
#[derive(Clone, Debug)]
pub(crate) struct Placed {
    /// The placement with its memory reservations.
    pub(crate) placement: Placement,
    /// One target for each reservation, in the same order.
    pub(crate) targets: Vec<Target>,
    /// Number of requests in flight on the first upstream, including this one.
    pub(crate) in_flight: usize,
}

/// A job's placement, or the reason why this owner refuses it.
pub(crate) type PlacedResult = Result<Placed, Refusal>;

/// Components used by the owner.
#[derive(Clone)]
pub(crate) struct OwnerContext {
    /// Session of this daemon.
    pub(crate) session: Arc<SessionService>,
    /// Client of the control group.
    pub(crate) control: Arc<ControlClient>,
    /// Recorder of this daemon's events.
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

/// Owner of one daemon.
pub(crate) struct Owner {
    pub(crate) cx: OwnerContext,
    tx: Mailbox<OwnerMsg>,
    pub(crate) client: Client,
    reconcilers: Reconcilers,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Owner {
    /// Starts the owner's thread and the thread that polls its upstreams.
    pub(crate) fn start(cx: OwnerContext) -> Arc<Self> {
        let (tx, rx) = kernel::mailbox("owner", MAILBOX_CAPACITY);
        let actor = Actor::new(cx.clone());
        let thread = thread::spawn(move || actor.run(&rx));
        let client = Client::new(ClientConfig::default());
        let reconcilers = Reconcilers::default();
        let thread = Mutex::new(Some(thread));
        let owner = Arc::new(Self { cx, tx, client, reconcilers, thread });
        poll::start(&owner);
        owner
    }

    /// Applies an announcement of an upstream that this daemon owns. `hash` is the
    /// [`announcement_hash`] of its JSON.
    pub(crate) fn announce(&self, announcement: Announcement, hash: u64) -> AnnouncementReply {
        let (reply, rx) = flume::bounded(1);
        let announcement = Box::new(announcement);
        self.send(OwnerMsg::Announce { announcement, hash, reply });
        rx.recv_timeout(REPLY_TIMEOUT)
            .unwrap_or_else(|_| AnnouncementReply::Refused(String::from("the owner is busy")))
    }

    /// Renews an announcement that the owner already holds.
    pub(crate) fn renew(&self, alive: AliveAnnouncement) -> AnnouncementReply {
        let (reply, rx) = flume::bounded(1);
        self.send(OwnerMsg::Alive { alive, reply });
        rx.recv_timeout(REPLY_TIMEOUT)
            .unwrap_or_else(|_| AnnouncementReply::Refused(String::from("the owner is busy")))
    }

    /// Protects requests that a former owner is still waiting for from cancellation.
    pub(crate) fn reclaim(&self, reclaimed: &ReclaimedRequests) {
        self.reconcilers.reclaim(reclaimed, self.cx.clock.now());
    }

    /// Calls a plain service and waits for its response.
    pub(crate) fn call(&self, call: &ServiceCallRequest) -> ServiceCallReply {
        call::run(self, call)
    }

    /// Runs a model request, passing its frames to `sink` until it ends.
    pub(crate) fn run_job(&self, job: &crate::messages::JobRequest, sink: &mut FrameSink<'_>) {
        job::run(self, job, sink);
    }

    /// Load and capacity of this owner for entry daemons, or `None` if the owner's thread does not
    /// reply.
    pub(crate) fn digest(&self) -> Option<OwnerDigest> {
        let (reply, rx) = flume::bounded(1);
        self.send(OwnerMsg::Digest { reply });
        rx.recv_timeout(REPLY_TIMEOUT).ok()
    }

    /// State of each upstream, with the reasons why it receives no requests or fewer of them.
    pub(crate) fn upstreams(&self) -> Vec<UpstreamStatus> {
        let (reply, rx) = flume::bounded(1);
        self.send(OwnerMsg::Status { reply });
        rx.recv_timeout(REPLY_TIMEOUT).unwrap_or_default()
    }

    /// Number of requests queued or in flight at this owner.
    pub(crate) fn request_count(&self) -> usize {
        let (reply, rx) = flume::bounded(1);
        self.send(OwnerMsg::RequestCount { reply });
        rx.recv_timeout(REPLY_TIMEOUT).unwrap_or_default()
    }

    /// Checks ownership and desired states again, after a change of configuration or roster.
    pub(crate) fn view_changed(&self) {
        self.send(OwnerMsg::ViewChanged);
    }

    /// Stops the owner's thread. Requests in flight are not interrupted.
    pub(crate) fn stop(&self) {
        self.send(OwnerMsg::Stop);
        if let Some(thread) = lock(&self.thread).take() {
            let _ = thread.join();
        }
    }

    /// Sends a message to the owner's thread. It is dropped if the mailbox stays full.
    pub(crate) fn send(&self, msg: OwnerMsg) {
        if let Err(err) = self.tx.send_timeout(msg, REPLY_TIMEOUT) {
            log::error!("{err}");
        }
    }

    /// Records an event of a request under the caller's request id: the suffix that
    /// distinguishes owner attempts is removed. An empty `upstream` is left out.
    pub(crate) fn record(&self, kind: EventKind, request: &str, upstream: &str, text: String) {
        let base = request.split('+').next().unwrap_or(request);
        let event = self.cx.recorder.event(kind).request(base);
        let event = if upstream.is_empty() { event } else { event.upstream(upstream) };
        self.cx.recorder.record(event.text(text));
    }

    /// Submits a job and returns the channel that receives its placement.
    pub(crate) fn submit(&self, job: route::Job) -> flume::Receiver<PlacedResult> {
        let (reply, rx) = flume::bounded(1);
        self.send(OwnerMsg::Submit { job: Box::new(job), reply });
        rx
    }

    /// Releases what is queued or reserved for a request that was given up.
    pub(crate) fn cancel(&self, request: &RequestId) {
        self.send(OwnerMsg::Cancelled { request: request.clone() });
    }
}
