//! Plans and applies sheets, and reports whether they are in force.

use super::{
    CONTROL_TIMEOUT, OperatorContext, Query, Result, control_error, number_param, request_control,
    to_json, unexpected_reply,
};
use crate::control_messages::{ControlReply, ControlRequest, InForceReport};
use control::{Command, Outcome, SheetOutcome};
use edge::ApiError;
use serde::Serialize;
use sheet::{Difference, Sheet, SheetFault};

#[derive(Serialize)]
struct Plan {
    number: u64,
    digest: String,
    changes: Vec<String>,
}

#[derive(Serialize)]
struct Applied {
    number: u64,
    digest: String,
    /// Log index of the change.
    index: u64,
}

#[derive(Serialize)]
struct InForce {
    in_force: bool,
    lagging: Vec<Lagging>,
    leader_is_new: bool,
}

#[derive(Serialize)]
struct Lagging {
    daemon: String,
    acknowledged: u64,
    runs_out_in_ms: u64,
}

/// Lists what a sheet would change, without applying it.
pub(crate) fn plan(cx: &OperatorContext, body: &[u8]) -> Result<String> {
    let sheet = parse(body)?;
    let current = cx.session.configuration();
    let changes = sheet::difference(&current, &sheet.to_configuration());
    to_json(&Plan {
        number: sheet.number,
        digest: hex(&sheet.digest()),
        changes: changes.iter().map(Difference::to_string).collect(),
    })
}

/// Applies a sheet, as a whole or not at all.
pub(crate) fn apply(cx: &OperatorContext, query: &Query, body: &[u8]) -> Result<String> {
    let sheet = parse(body)?;
    let operator = query.get("operator").cloned().unwrap_or_default();
    let command = Command::ApplySheet(sheet.to_change(operator));
    let outcome =
        cx.control.propose(command, CONTROL_TIMEOUT).map_err(|err| control_error(&err))?;
    let Outcome::Sheet(outcome) = outcome else { return Err(unexpected_reply(&outcome)) };
    match outcome {
        SheetOutcome::Accepted { index } => {
            to_json(&Applied { number: sheet.number, digest: hex(&sheet.digest()), index })
        }
        SheetOutcome::Conflict { digest, operator, index } => {
            let reason = format!(
                "number {} was taken by another sheet: digest {}, by '{operator}', in force from {index}",
                sheet.number,
                hex(&digest)
            );
            Err(ApiError::refusal(409, "sheet_conflict", reason))
        }
        SheetOutcome::Stale { number } => {
            let reason = format!("sheet {number} is in force; give a higher number");
            Err(ApiError::refusal(409, "sheet_stale", reason))
        }
        SheetOutcome::WrongRegion { region } => {
            let reason = format!("this control group serves region {region}");
            Err(ApiError::refusal(409, "wrong_region", reason))
        }
    }
}

/// Whether the change at a log index is in force everywhere, and which daemons lag.
pub(crate) fn in_force(cx: &OperatorContext, query: &Query) -> Result<String> {
    let index = number_param(query, "index")?;
    match request_control(cx, &ControlRequest::InForce { index })? {
        ControlReply::InForce(report) => to_json(&in_force_json(report)),
        other => Err(unexpected_reply(&other)),
    }
}

fn in_force_json(report: InForceReport) -> InForce {
    let lagging = report
        .lagging
        .into_iter()
        .map(|lagging| Lagging {
            daemon: lagging.daemon,
            acknowledged: lagging.acknowledged,
            runs_out_in_ms: lagging.runs_out_in_ms,
        })
        .collect();
    InForce { in_force: report.is_in_force, lagging, leader_is_new: report.is_leader_new }
}

fn parse(body: &[u8]) -> Result<Sheet> {
    sheet::parse(body).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(SheetFault::to_string).collect();
        ApiError::refusal(400, "sheet_faults", lines.join("\n"))
    })
}

/// Lower-case hexadecimal digits.
fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
