//! Requests to a daemon's operators' HTTP.

use crate::{
    cli::Result,
    exit::{Exit, Failure},
};
use getopts::{Matches, Options};
use minreq::Request;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{env, fs, path::PathBuf};

/// Environment variable with the address, when the option is not given.
const ADDRESS_VARIABLE: &str = "TOUCANSILL_OPERATORS";
/// Environment variable with the path of the token's file, when the option is not given.
const TOKEN_FILE_VARIABLE: &str = "TOUCANSILL_TOKEN_FILE";
/// Longest wait for an answer, in seconds.
const TIMEOUT_S: u64 = 150;

/// A daemon's operators' HTTP.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    address: String,
    token: String,
}

/// Adds the options that choose the daemon and the form of the output.
pub(crate) fn options(options: &mut Options) {
    options.optopt("a", "address", "operators' address of a daemon", "IP:PORT");
    options.optopt("t", "token-file", "file with the operators' token", "FILE");
    options.optflag("", "json", "print JSON");
}

impl Operator {
    /// Reads address and token from the options or the environment.
    pub(crate) fn of(matches: &Matches) -> Result<Self> {
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
            .map_err(|err| Failure::usage(format!("{}: {err}", file.display())))?;
        let token = String::from(text.lines().next().unwrap_or_default().trim());
        Ok(Self { address, token })
    }

    /// Sends a GET request and reads the answer's JSON.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        Ok(serde_json::from_slice(&self.send(minreq::get(self.url(path)))?)?)
    }

    /// Sends a GET request and gives the answer as it is.
    pub(crate) fn bytes(&self, path: &str) -> Result<Vec<u8>> {
        self.send(minreq::get(self.url(path)))
    }

    /// Sends a POST request and reads the answer's JSON.
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
            .map_err(|err| Failure::new(Exit::NoContact, format!("{}: {err}", self.address)))?;
        if res.status_code == 200 {
            return Ok(res.into_bytes());
        }
        Err(refusal(res.status_code, res.as_bytes()).into())
    }
}

/// The refusal of a daemon as an error of the command.
fn refusal(status: u16, body: &[u8]) -> Failure {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let message = value["error"]["message"].as_str().unwrap_or("no reason given");
    let verdict = value["error"]["verdict"].as_str().unwrap_or("unknown");
    let exit = if status == 400 { Exit::Faults } else { Exit::Refused };
    Failure::new(exit, format!("{message} (status {status}, verdict {verdict})"))
}
