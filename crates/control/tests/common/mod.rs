//! Constructors of commands with short arguments.
#![allow(dead_code)]

use control::{
    Claim, ClaimId, Command, Configuration, DaemonInstance, DataCentre, JoinRequest, LedgerKey,
    ProposedSheet,
};

pub(crate) fn holder(daemon: &str, incarnation: u64) -> DaemonInstance {
    DaemonInstance { daemon: daemon.to_string(), incarnation }
}

pub(crate) fn join(daemon: &str, incarnation: u64, data_centre: &str) -> Command {
    Command::Join(JoinRequest {
        holder: holder(daemon, incarnation),
        address: format!("{daemon}-{incarnation}:1"),
        data_centre: data_centre.to_string(),
    })
}

/// Returns a sheet whose hash repeats `seed`, with one data centre in service, which
/// depends on `seed`, and one out of service.
pub(crate) fn sheet(number: u64, seed: u8, operator: &str) -> Command {
    let mut configuration = Configuration::new("cl-centro");
    for (name, in_service) in [(format!("dc-{}", seed % 3), true), ("dc-9".to_string(), false)] {
        configuration.data_centres.insert(name, DataCentre { in_service });
    }
    Command::ApplySheet(ProposedSheet {
        number,
        digest: [seed; 32],
        configuration,
        operator: operator.to_string(),
    })
}

pub(crate) fn claim_id(key: &str, request: &str, holder: DaemonInstance, at_ms: u64) -> ClaimId {
    let key = LedgerKey {
        organisation: "acme".to_string(),
        service: "yard".to_string(),
        key: key.to_string(),
    };
    ClaimId { key, holder, request: request.to_string(), at_ms }
}

pub(crate) fn claim(id: ClaimId, body: u8) -> Command {
    Command::ClaimKey(Claim { id, body_hash: [body; 32] })
}
