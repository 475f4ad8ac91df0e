//! Differences between two configurations in terms of what callers notice.

use crate::version::{ConfigDraft, Organisation, Route};
use serde::Serialize;
use std::collections::BTreeMap;

/// A difference between the configuration in force and a new one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Change {
    /// True if requests that are served today are refused from then on.
    pub refuses: bool,
    /// Entry that changes.
    pub entry: String,
    /// What changes.
    pub message: String,
}

/// Returns what changes if `to` replaces `from`, starting with what is refused from then on.
pub fn list_changes(from: &ConfigDraft, to: &ConfigDraft) -> Vec<Change> {
    let mut changes = Changes(Vec::new());
    if to.version <= from.version {
        changes.add(
            true,
            "configuration",
            format!(
                "version {} is not above {}, so that nodes ignore it",
                to.version, from.version
            ),
        );
    }
    compare_routes(from, to, &mut changes);
    compare_organisations(from, to, &mut changes);
    let names = |draft: &ConfigDraft| -> BTreeMap<String, u32> {
        draft.services.iter().map(|item| (item.name.clone(), item.max_connections)).collect()
    };
    let services = (names(from), names(to));
    for (name, connections) in &services.0 {
        match services.1.get(name) {
            None => changes.add(false, &format!("service {name}"), "removed"),
            Some(other) if other != connections => {
                changes.add(
                    false,
                    &format!("service {name}"),
                    format!("connections to a target: {connections}, then {other}"),
                );
            }
            Some(_) => {}
        }
    }
    for name in services.1.keys().filter(|name| !services.0.contains_key(*name)) {
        changes.add(false, &format!("service {name}"), "added");
    }
    let (old, new) = (&from.limits, &to.limits);
    let sizes = [
        ("header bytes", old.header_bytes, new.header_bytes),
        ("body bytes", old.body_bytes, new.body_bytes),
    ];
    for (field, old, new) in sizes.into_iter().filter(|(_, old, new)| old != new) {
        changes.add(new < old, "limits", format!("{field}: {old}, then {new}"));
    }
    let times = [
        ("header timeout", old.header_timeout, new.header_timeout),
        ("idle timeout", old.idle_timeout, new.idle_timeout),
    ];
    for (field, old, new) in times.into_iter().filter(|(_, old, new)| old != new) {
        changes.add(
            false,
            "limits",
            format!("{field}: {} ms, then {} ms", old.as_millis(), new.as_millis()),
        );
    }
    changes.0.sort_by(|a, b| b.refuses.cmp(&a.refuses).then_with(|| a.cmp(b)));
    changes.0
}

struct Changes(Vec<Change>);

impl Changes {
    fn add(&mut self, refuses: bool, entry: &str, message: impl Into<String>) {
        self.0.push(Change { refuses, entry: entry.to_string(), message: message.into() });
    }
}

fn compare_routes(from: &ConfigDraft, to: &ConfigDraft, changes: &mut Changes) {
    let by_place = |draft: &ConfigDraft| -> BTreeMap<(String, String), Route> {
        let places = draft.routes.iter().rev();
        places
            .map(|route| {
                ((route.host.to_ascii_lowercase(), route.path_prefix.clone()), route.clone())
            })
            .collect()
    };
    let (old, new) = (by_place(from), by_place(to));
    let deployment = to.clone().into_deployment();
    for ((host, prefix), route) in &old {
        let entry = format!("route {} ({host}{prefix})", route.name);
        if let Some(other) = new.get(&(host.clone(), prefix.clone())) {
            compare_route(&entry, route, other, changes);
        } else if let Some(other) = deployment.route(host, prefix) {
            changes.add(false, &entry, format!("removed; its requests go to route {}", other.name));
        } else {
            changes.add(true, &entry, "removed; its requests get 404");
        }
    }
    for ((host, prefix), route) in new.iter().filter(|(place, _)| !old.contains_key(*place)) {
        changes.add(false, &format!("route {} ({host}{prefix})", route.name), "added");
    }
}

fn compare_route(entry: &str, old: &Route, new: &Route, changes: &mut Changes) {
    if old.is_public && !new.is_public {
        changes.add(true, entry, "no longer public; requests without a key get 401");
    } else if old.is_public != new.is_public {
        changes.add(false, entry, "public from then on; callers need no key");
    }
    let mut note = |field: &str, old: String, new: String| {
        if old != new {
            changes.add(false, entry, format!("{field}: {old}, then {new}"));
        }
    };
    let split = |route: &Route| {
        let shares = route.split.iter().map(|(service, weight)| format!("{service} x {weight}"));
        shares.collect::<Vec<_>>().join(" + ")
    };
    note("services", split(old), split(new));
    note("kind", format!("{:?}", old.kind), format!("{:?}", new.kind));
    note("timeout in ms", old.timeout.as_millis().to_string(), new.timeout.as_millis().to_string());
    note(
        "objective in ms",
        old.objective.as_millis().to_string(),
        new.objective.as_millis().to_string(),
    );
    note(
        "event gap in ms",
        old.event_gap.as_millis().to_string(),
        new.event_gap.as_millis().to_string(),
    );
    note("priority", old.priority.to_string(), new.priority.to_string());
    note("home regions", format!("{:?}", old.home_regions), format!("{:?}", new.home_regions));
    note("max attempts", old.max_attempts.to_string(), new.max_attempts.to_string());
}

fn compare_organisations(from: &ConfigDraft, to: &ConfigDraft, changes: &mut Changes) {
    let by_name = |draft: &ConfigDraft| -> BTreeMap<String, Organisation> {
        draft.organisations.iter().map(|item| (item.name.clone(), item.clone())).collect()
    };
    let (old, new) = (by_name(from), by_name(to));
    let deployment = to.clone().into_deployment();
    for (name, organisation) in &old {
        let entry = format!("organisation {name}");
        let removed = organisation
            .keys
            .iter()
            .filter(|key| deployment.organisation_of_key(key).is_none())
            .count();
        if removed > 0 {
            changes.add(
                true,
                &entry,
                format!(
                    "{removed} of {} keys removed; requests with them get 401",
                    organisation.keys.len()
                ),
            );
        }
        let Some(other) = new.get(name) else {
            changes.add(false, &entry, "removed");
            continue;
        };
        let added = other.keys.iter().filter(|key| !organisation.keys.contains(*key)).count();
        if added > 0 {
            changes.add(false, &entry, format!("{added} keys added"));
        }
        if organisation.priority != other.priority {
            changes.add(
                false,
                &entry,
                format!("priority: {:?}, then {:?}", organisation.priority, other.priority),
            );
        }
        compare_quotas(&entry, organisation, other, changes);
    }
    for name in new.keys().filter(|name| !old.contains_key(*name)) {
        changes.add(false, &format!("organisation {name}"), "added");
    }
}

fn compare_quotas(entry: &str, old: &Organisation, new: &Organisation, changes: &mut Changes) {
    if old.quota == new.quota {
        return;
    }
    let describe = |organisation: &Organisation| match organisation.quota {
        Some(quota) => {
            let unit = if quota.counts_tokens { "tokens" } else { "requests" };
            format!("{} {unit}/s and a burst of {}", quota.rate_per_s, quota.burst)
        }
        None => "unlimited".to_string(),
    };
    let refuses = match (old.quota, new.quota) {
        (None, _) => true,
        (Some(old), Some(new)) => {
            new.rate_per_s < old.rate_per_s
                || new.burst < old.burst
                || new.counts_tokens != old.counts_tokens
        }
        (Some(_), None) => false,
    };
    let suffix = if refuses { "; what is beyond it gets 429" } else { "" };
    changes.add(
        refuses,
        entry,
        format!("quota: {}, then {}{suffix}", describe(old), describe(new)),
    );
}
