//! Errors of services.

use std::fmt;

/// Result of this crate's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong with which service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    service: String,
    kind: Kind,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Kind {
    Ended,
    Full,
    NameTaken,
    NotStarted(String),
    UnknownService,
    WrongType(&'static str),
}

impl Error {
    pub(crate) fn ended(service: &str) -> Self {
        Self::new(service, Kind::Ended)
    }

    pub(crate) fn full(service: &str) -> Self {
        Self::new(service, Kind::Full)
    }

    pub(crate) fn name_taken(service: &str) -> Self {
        Self::new(service, Kind::NameTaken)
    }

    pub(crate) fn not_started(service: &str, reason: &dyn fmt::Display) -> Self {
        Self::new(service, Kind::NotStarted(reason.to_string()))
    }

    pub(crate) fn unknown_service(service: &str) -> Self {
        Self::new(service, Kind::UnknownService)
    }

    pub(crate) fn wrong_type(service: &str, wanted: &'static str) -> Self {
        Self::new(service, Kind::WrongType(wanted))
    }

    fn new(service: &str, kind: Kind) -> Self {
        Self { service: service.to_owned(), kind }
    }

    /// Whether the service has ended.
    pub fn is_ended(&self) -> bool {
        self.kind == Kind::Ended
    }

    /// Whether the service's queue is full.
    pub fn is_full(&self) -> bool {
        self.kind == Kind::Full
    }

    /// Whether another service has the name.
    pub fn is_name_taken(&self) -> bool {
        self.kind == Kind::NameTaken
    }

    /// Whether the service did not start.
    pub fn is_not_started(&self) -> bool {
        matches!(self.kind, Kind::NotStarted(_))
    }

    /// Whether there is no service of the name.
    pub fn is_unknown_service(&self) -> bool {
        self.kind == Kind::UnknownService
    }

    /// Whether the service has another type than was asked for.
    pub fn is_wrong_type(&self) -> bool {
        matches!(self.kind, Kind::WrongType(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let service = &self.service;
        match &self.kind {
            Kind::Ended => write!(f, "service {service} has ended"),
            Kind::Full => write!(f, "the queue of service {service} is full"),
            Kind::NameTaken => write!(f, "there is already a service {service}"),
            Kind::NotStarted(reason) => write!(f, "service {service} did not start: {reason}"),
            Kind::UnknownService => write!(f, "there is no service {service}"),
            Kind::WrongType(wanted) => write!(f, "service {service} is no {wanted}"),
        }
    }
}

impl std::error::Error for Error {}
