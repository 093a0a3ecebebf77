//! Errors of internal services, mailboxes and the registry.

use std::fmt;

/// Result of this crate's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure that concerns a named service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Name of the service.
    service: String,
    kind: ErrorKind,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum ErrorKind {
    /// The service has ended.
    Ended,
    /// The queue of the service is full.
    QueueFull,
    /// Another service is registered under the name.
    NameTaken,
    /// The service failed to start, with the reason.
    NotStarted(String),
    /// No service is registered under the name.
    UnknownService,
    /// The service has another type than this expected one.
    WrongType(&'static str),
}

impl Error {
    pub(crate) fn ended(service: &str) -> Self {
        Self::new(service, ErrorKind::Ended)
    }

    pub(crate) fn queue_full(service: &str) -> Self {
        Self::new(service, ErrorKind::QueueFull)
    }

    pub(crate) fn name_taken(service: &str) -> Self {
        Self::new(service, ErrorKind::NameTaken)
    }

    pub(crate) fn not_started(service: &str, reason: &dyn fmt::Display) -> Self {
        Self::new(service, ErrorKind::NotStarted(reason.to_string()))
    }

    pub(crate) fn unknown_service(service: &str) -> Self {
        Self::new(service, ErrorKind::UnknownService)
    }

    pub(crate) fn wrong_type(service: &str, expected: &'static str) -> Self {
        Self::new(service, ErrorKind::WrongType(expected))
    }

    fn new(service: &str, kind: ErrorKind) -> Self {
        Self { service: service.to_owned(), kind }
    }

    /// Whether the service has ended.
    pub fn is_ended(&self) -> bool {
        self.kind == ErrorKind::Ended
    }

    /// Whether the queue of the service is full.
    pub fn is_full(&self) -> bool {
        self.kind == ErrorKind::QueueFull
    }

    /// Whether another service is already registered under the name.
    pub fn is_name_taken(&self) -> bool {
        self.kind == ErrorKind::NameTaken
    }

    /// Whether the service failed to start.
    pub fn is_not_started(&self) -> bool {
        matches!(self.kind, ErrorKind::NotStarted(_))
    }

    /// Whether no service is registered under the name.
    pub fn is_unknown_service(&self) -> bool {
        self.kind == ErrorKind::UnknownService
    }

    /// Whether the service registered under the name has another type than the expected one.
    pub fn is_wrong_type(&self) -> bool {
        matches!(self.kind, ErrorKind::WrongType(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let service = &self.service;
        match &self.kind {
            ErrorKind::Ended => write!(f, "service {service} has ended"),
            ErrorKind::QueueFull => write!(f, "the queue of service {service} is full"),
            ErrorKind::NameTaken => write!(f, "another service is registered as {service}"),
            ErrorKind::NotStarted(reason) => write!(f, "service {service} did not start: {reason}"),
            ErrorKind::UnknownService => write!(f, "no service is registered as {service}"),
            ErrorKind::WrongType(expected) => write!(f, "service {service} is not a {expected}"),
        }
    }
}

impl std::error::Error for Error {}
