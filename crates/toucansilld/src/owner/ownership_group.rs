//! Groups of upstreams that share one owner.

use upstream::Announcement;

/// Name of an upstream's ownership group: the sorted names of its models, or its service.
///
/// Upstreams of a data centre that serve the same models share one owner, which can therefore
/// keep some of them free of long prompts. It needs about six upstreams for that
/// (docs/notes/ownership-groups.md).
pub(crate) fn ownership_group_of(announcement: &Announcement) -> String {
    if let Some(service) = &announcement.service {
        return super::service_model(service);
    }
    let mut models: Vec<&str> = announcement.models.iter().map(String::as_str).collect();
    models.sort_unstable();
    models.dedup();
    models.join(",")
}
