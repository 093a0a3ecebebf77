//! Groups of upstreams that have one owner together.

use upstream::Announcement;

/// Name of an upstream's group: the models or the service that it serves.
///
/// All upstreams of a data centre that serve the same have one owner, which can
/// keep some of them free of long prompts. It needs about six of them for that
/// (docs/notes/ownership-groups.md).
pub(crate) fn group_of(announcement: &Announcement) -> String {
    if let Some(service) = &announcement.service {
        return super::service_model(service);
    }
    let mut models: Vec<&str> = announcement.models.iter().map(String::as_str).collect();
    models.sort_unstable();
    models.dedup();
    models.join(",")
}
