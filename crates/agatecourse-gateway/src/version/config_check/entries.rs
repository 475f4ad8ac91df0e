//! Entries that can never match, refer to nothing or stand twice.

use super::Finding;
use crate::version::{ConfigDraft, Route};
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check(draft: &ConfigDraft) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_routes(draft, &mut findings);
    check_services(draft, &mut findings);
    check_organisations(draft, &mut findings);
    findings
}

fn check_routes(draft: &ConfigDraft, findings: &mut Vec<Finding>) {
    let services: BTreeSet<&str> = draft.services.iter().map(|item| item.name.as_str()).collect();
    let mut seen: BTreeMap<(String, &str), &Route> = BTreeMap::new();
    for route in &draft.routes {
        let entry = || format!("route {}", route.name);
        let host = route.host.to_ascii_lowercase();
        if host.contains(':') {
            findings.push(Finding::error(
                entry(),
                "host",
                "never matches: hosts are compared without their port",
            ));
        }
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') || prefix.contains('?') {
            let message = format!(
                "`{prefix}` does not begin and end with a slash, or has a query; paths are compared with whole segments"
            );
            findings.push(Finding::error(entry(), "path prefix", message));
        }
        if let Some(first) = seen.get(&(host.clone(), prefix.as_str())) {
            let message =
                format!("never matches: route {} has the same host and path prefix", first.name);
            findings.push(Finding::error(entry(), "path prefix", message));
        } else {
            seen.insert((host, prefix), route);
        }
        if route.split.iter().map(|(_, weight)| u64::from(*weight)).sum::<u64>() == 0 {
            findings.push(Finding::error(
                entry(),
                "services",
                "no service has a weight above zero, so that no target can run a request",
            ));
        }
        for (service, weight) in &route.split {
            if !services.contains(service.as_str()) {
                findings.push(Finding::error(
                    entry(),
                    "services",
                    format!("service {service} is not defined"),
                ));
            } else if *weight == 0 && route.split.len() > 1 {
                findings.push(Finding::warning(
                    entry(),
                    "services",
                    format!("service {service} has the weight zero and gets no request"),
                ));
            }
        }
    }
}

fn check_services(draft: &ConfigDraft, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    for service in &draft.services {
        let entry = format!("service {}", service.name);
        if !seen.insert(&service.name) {
            findings.push(Finding::error(entry, "name", "stands twice; the last one is used"));
            continue;
        }
        if !draft
            .routes
            .iter()
            .any(|route| route.split.iter().any(|(name, _)| *name == service.name))
        {
            findings.push(Finding::warning(entry, "name", "no route sends requests to it"));
        }
    }
}

fn check_organisations(draft: &ConfigDraft, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
    for organisation in &draft.organisations {
        let entry = || format!("organisation {}", organisation.name);
        if !seen.insert(&organisation.name) {
            findings.push(Finding::error(entry(), "name", "stands twice; the last one is used"));
        }
        if organisation.keys.is_empty() {
            findings.push(Finding::warning(
                entry(),
                "keys",
                "it has no key, so that none of its callers is let in",
            ));
        }
        for key in &organisation.keys {
            if key.is_empty() {
                findings.push(Finding::error(entry(), "keys", "an empty key never matches"));
            }
            match holders.insert(key, &organisation.name) {
                Some(holder) if *holder == *organisation.name => {
                    findings.push(Finding::warning(entry(), "keys", "a key stands twice"));
                }
                Some(holder) => {
                    let message = format!(
                        "organisation {holder} has one of its keys; callers with it count as {}",
                        organisation.name
                    );
                    findings.push(Finding::error(entry(), "keys", message));
                }
                None => {}
            }
        }
    }
    if draft.organisations.is_empty() {
        return;
    }
    let has_keys = draft.organisations.iter().any(|organisation| !organisation.keys.is_empty());
    for route in draft.routes.iter().filter(|route| !has_keys && !route.is_public) {
        findings.push(Finding::error(
            format!("route {}", route.name),
            "keys",
            "it asks for a key, and no organisation has one",
        ));
    }
}
