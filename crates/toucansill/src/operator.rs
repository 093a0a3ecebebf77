//! HTTP client for the operators' interface of a daemon.

use crate::{
    cli::Result,
    exit::{Exit, Failure},
};
use getopts::{Matches, Options};
use minreq::Request;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{env, fs, path::PathBuf};

/// Environment variable with the address, used without `--address`.
const ADDRESS_VARIABLE: &str = "TOUCANSILL_OPERATORS";
/// Environment variable with the path of the token file, used without `--token-file`.
const TOKEN_FILE_VARIABLE: &str = "TOUCANSILL_TOKEN_FILE";
/// Longest wait for a reply, in seconds.
const TIMEOUT_S: u64 = 150;

/// Client of one daemon's operators' interface.
#[derive(Clone, Debug)]
pub(crate) struct OperatorClient {
    address: String,
    token: String,
}

/// Adds the options that select the daemon, the token file and JSON output.
pub(crate) fn options(options: &mut Options) {
    options.optopt(
        "a",
        "address",
        "address of a daemon's operators' interface (default $TOUCANSILL_OPERATORS)",
        "IP:PORT",
    );
    options.optopt(
        "t",
        "token-file",
        "file whose first line is the operators' token (default $TOUCANSILL_TOKEN_FILE)",
        "FILE",
    );
    options.optflag("", "json", "print JSON");
}

impl OperatorClient {
    /// Takes the address and the token file from the options, or else from the environment.
    pub(crate) fn from_options(matches: &Matches) -> Result<Self> {
        let address = matches
            .opt_str("address")
            .or_else(|| env::var(ADDRESS_VARIABLE).ok())
            .ok_or_else(|| Failure::usage(format!("give --address or set {ADDRESS_VARIABLE}")))?;
        let file = matches
            .opt_str("token-file")
            .or_else(|| env::var(TOKEN_FILE_VARIABLE).ok())
            .map(PathBuf::from)
            .ok_or_else(|| {
                Failure::usage(format!("give --token-file or set {TOKEN_FILE_VARIABLE}"))
            })?;
        let text = fs::read_to_string(&file)
            .map_err(|err| Failure::usage(format!("token file {}: {err}", file.display())))?;
        let token = String::from(text.lines().next().unwrap_or_default().trim());
        Ok(Self { address, token })
    }

    /// Sends a GET request and parses the reply as JSON.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        Ok(serde_json::from_slice(&self.send(minreq::get(self.url(path)))?)?)
    }

    /// Sends a GET request and returns the body of the reply.
    pub(crate) fn bytes(&self, path: &str) -> Result<Vec<u8>> {
        self.send(minreq::get(self.url(path)))
    }

    /// Sends a POST request and parses the reply as JSON.
    pub(crate) fn post<T: DeserializeOwned>(&self, path: &str, body: Vec<u8>) -> Result<T> {
        let req = minreq::post(self.url(path)).with_body(body);
        Ok(serde_json::from_slice(&self.send(req)?)?)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn send(&self, req: Request) -> Result<Vec<u8>> {
        let res = req
            .with_header("Authorization", format!("Bearer {}", self.token))
            .with_timeout(TIMEOUT_S)
            .send()
            .map_err(|err| {
                Failure::new(
                    Exit::NoContact,
                    format!("request to daemon at {} failed: {err}", self.address),
                )
            })?;
        if res.status_code == 200 {
            return Ok(res.into_bytes());
        }
        Err(refusal_error(res.status_code, res.as_bytes()).into())
    }
}

/// Converts the error reply of a daemon. Status 400 reports faults in the input.
fn refusal_error(status: u16, body: &[u8]) -> Failure {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let message = value["error"]["message"].as_str().unwrap_or("no reason given");
    let verdict = value["error"]["verdict"].as_str().unwrap_or("unknown");
    let exit = if status == 400 { Exit::Faults } else { Exit::Refused };
    Failure::new(exit, format!("{message} (status {status}, verdict {verdict})"))
}
