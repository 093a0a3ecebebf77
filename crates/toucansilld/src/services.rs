//! Answers to messages of other daemons.

use crate::{
    control_messages::{ControlReply, ControlRequest, RaftEnvelope},
    entry::{Entry, encode_frame},
    messages::{AnnouncementReply, GossipMessage, JobFrame, OwnerRequest, service},
    net::Net,
    owner::{Owner, announcement_hash},
    relay::Relay,
    voter::Voter,
};
use control::Renewal;
use std::sync::Arc;
use upstream::Announcement;
use wire::Inbound;

/// Adds the voter's services.
pub(crate) fn serve_voter(net: &Net, voter: &Arc<Voter>) {
    let asked = Arc::clone(voter);
    net.serve(service::CONTROL, Arc::new(move |inbound| answer_control(&asked, inbound)));
    let stepped = Arc::clone(voter);
    net.serve(service::RAFT, Arc::new(move |inbound| step(&stepped, &inbound)));
}

/// On a daemon without a voter: names the leader that it knows.
pub(crate) fn serve_referral(
    net: &Net,
    leader: impl Fn() -> Option<String> + Send + Sync + 'static,
) {
    let refer = move |inbound: Inbound| {
        let reply = ControlReply::NotLeader { leader: leader() };
        let _ = inbound.responder.reply(control::encode(&reply));
    };
    net.serve(service::CONTROL, Arc::new(refer));
}

/// Adds the relay's service.
pub(crate) fn serve_relay(net: &Net, relay: &Arc<Relay>) {
    let relay = Arc::clone(relay);
    net.serve(service::RELAY, Arc::new(move |inbound| answer_relay(&relay, inbound)));
}

fn answer_relay(relay: &Relay, inbound: Inbound) {
    let reply = match control::decode::<Renewal>(&inbound.message.body) {
        Ok(renewal) => relay.renew(renewal),
        Err(err) => {
            let _ = inbound.responder.refuse(&err.to_string());
            return;
        }
    };
    let answered = match reply {
        Some(reply) => inbound.responder.reply(control::encode(&reply)),
        None => inbound.responder.refuse("the leader did not answer"),
    };
    if let Err(err) = answered {
        log::debug!("{}: the reply was not sent: {err}", inbound.peer);
    }
}

/// Adds the services of owner and entry.
pub(crate) fn serve_work(net: &Net, owner: &Arc<Owner>, entry: &Arc<Entry>) {
    let owner = Arc::clone(owner);
    net.serve(service::OWNER, Arc::new(move |inbound| answer_owner(&owner, inbound)));
    let entry = Arc::clone(entry);
    net.serve(service::GOSSIP, Arc::new(move |inbound| hear(&entry, &inbound)));
}

fn answer_control(voter: &Voter, inbound: Inbound) {
    let answered = match control::decode::<ControlRequest>(&inbound.message.body) {
        Ok(req) => inbound.responder.reply(control::encode(&voter.handle(req))),
        Err(err) => inbound.responder.refuse(&err.to_string()),
    };
    if let Err(err) = answered {
        log::debug!("{}: the answer was not sent: {err}", inbound.peer);
    }
}

fn step(voter: &Voter, inbound: &Inbound) {
    match control::decode::<RaftEnvelope>(&inbound.message.body) {
        Ok(envelope) => voter.step(envelope),
        Err(err) => log::warn!("{}: consensus message: {err}", inbound.peer),
    }
}

fn answer_owner(owner: &Owner, inbound: Inbound) {
    let Inbound { peer, message, responder, .. } = inbound;
    let answered = match wire::decode::<OwnerRequest>(&message.body) {
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
    if let Err(err) = answered {
        log::debug!("{peer}: the answer was not sent: {err}");
    }
}

fn announce(owner: &Owner, body: &[u8]) -> AnnouncementReply {
    match Announcement::parse(body) {
        Ok(announcement) => owner.announce(announcement, announcement_hash(body)),
        Err(err) => AnnouncementReply::Refused(err.to_string()),
    }
}

fn hear(entry: &Entry, inbound: &Inbound) {
    match control::decode::<GossipMessage>(&inbound.message.body) {
        Ok(gossip) => entry.apply_gossip(gossip),
        Err(err) => log::warn!("{}: digest: {err}", inbound.peer),
    }
}
