//! Handlers for the messages of other daemons.

use crate::{
    control_messages::{ControlReply, ControlRequest, RaftEnvelope},
    entry::{Entry, encode_frame},
    messages::{AnnouncementReply, GossipMessage, JobFrame, OwnerRequest, message_service},
    net::Net,
    owner::{Owner, announcement_hash},
    relay::Relay,
    voter::Voter,
};
use control::Renewal;
use std::sync::Arc;
use upstream::Announcement;
use wire::Inbound;

/// Registers the voter's message services: requests to the control group and consensus messages.
pub(crate) fn serve_voter(net: &Net, voter: &Arc<Voter>) {
    let requests = Arc::clone(voter);
    net.serve(
        message_service::CONTROL,
        Arc::new(move |inbound| handle_control(&requests, inbound)),
    );
    let consensus = Arc::clone(voter);
    net.serve(message_service::RAFT, Arc::new(move |inbound| step(&consensus, &inbound)));
}

/// Registers the control message service of a daemon without a voter, which only replies with the
/// address of the last known leader.
pub(crate) fn serve_referral(
    net: &Net,
    leader: impl Fn() -> Option<String> + Send + Sync + 'static,
) {
    let refer = move |inbound: Inbound| {
        let reply = ControlReply::NotLeader { leader: leader() };
        let _ = inbound.responder.reply(control::encode(&reply));
    };
    net.serve(message_service::CONTROL, Arc::new(refer));
}

/// Registers the relay's message service.
pub(crate) fn serve_relay(net: &Net, relay: &Arc<Relay>) {
    let relay = Arc::clone(relay);
    net.serve(message_service::RELAY, Arc::new(move |inbound| handle_relay(&relay, inbound)));
}

fn handle_relay(relay: &Relay, inbound: Inbound) {
    let reply = match control::decode::<Renewal>(&inbound.message.body) {
        Ok(renewal) => relay.renew(renewal),
        Err(err) => {
            let _ = inbound.responder.refuse(&err.to_string());
            return;
        }
    };
    let sent = match reply {
        Some(reply) => inbound.responder.reply(control::encode(&reply)),
        None => inbound.responder.refuse("the leader did not answer"),
    };
    if let Err(err) = sent {
        log::debug!("{}: the reply was not sent: {err}", inbound.peer);
    }
}

/// Registers the message services of the owner and the entry.
pub(crate) fn serve_owner_and_entry(net: &Net, owner: &Arc<Owner>, entry: &Arc<Entry>) {
    let owner = Arc::clone(owner);
    net.serve(message_service::OWNER, Arc::new(move |inbound| handle_owner(&owner, inbound)));
    let entry = Arc::clone(entry);
    net.serve(message_service::GOSSIP, Arc::new(move |inbound| handle_gossip(&entry, &inbound)));
}

fn handle_control(voter: &Voter, inbound: Inbound) {
    let sent = match control::decode::<ControlRequest>(&inbound.message.body) {
        Ok(req) => inbound.responder.reply(control::encode(&voter.handle(req))),
        Err(err) => inbound.responder.refuse(&err.to_string()),
    };
    if let Err(err) = sent {
        log::debug!("{}: the reply was not sent: {err}", inbound.peer);
    }
}

/// Passes a consensus message to the voter.
fn step(voter: &Voter, inbound: &Inbound) {
    match control::decode::<RaftEnvelope>(&inbound.message.body) {
        Ok(envelope) => voter.step(envelope),
        Err(err) => log::warn!("{}: invalid consensus message: {err}", inbound.peer),
    }
}

fn handle_owner(owner: &Owner, inbound: Inbound) {
    let Inbound { peer, message, responder, .. } = inbound;
    let sent = match wire::decode::<OwnerRequest>(&message.body) {
        Ok(OwnerRequest::Job(job)) => {
            let mut sink = |frame: JobFrame| responder.send(encode_frame(&frame)).is_ok();
            owner.run_job(&job, &mut sink);
            responder.finish()
        }
        Ok(OwnerRequest::Call(call)) => match wire::encode(&owner.call(&call)) {
            Ok(buf) => responder.reply(buf),
            Err(err) => Err(err),
        },
        Ok(OwnerRequest::Alive(alive)) => responder.reply(control::encode(&owner.renew(alive))),
        Ok(OwnerRequest::Reclaim(reclaimed)) => {
            owner.reclaim(&reclaimed);
            responder.finish()
        }
        Ok(OwnerRequest::Announce(body)) => {
            responder.reply(control::encode(&announce(owner, &body)))
        }
        Err(err) => responder.refuse(&err.to_string()),
    };
    if let Err(err) = sent {
        log::debug!("{peer}: the reply was not sent: {err}");
    }
}

/// Applies an announcement that another daemon has forwarded.
fn announce(owner: &Owner, body: &[u8]) -> AnnouncementReply {
    match Announcement::parse(body) {
        Ok(announcement) => owner.announce(announcement, announcement_hash(body)),
        Err(err) => AnnouncementReply::Refused(err.to_string()),
    }
}

fn handle_gossip(entry: &Entry, inbound: &Inbound) {
    match control::decode::<GossipMessage>(&inbound.message.body) {
        Ok(gossip) => entry.apply_gossip(gossip),
        Err(err) => log::warn!("{}: invalid gossip message: {err}", inbound.peer),
    }
}
