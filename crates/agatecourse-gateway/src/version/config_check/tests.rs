use super::{Finding, Severity, check_draft, list_changes};
use crate::version::{CallerLimits, ConfigDraft, Organisation, Quota, Route, RouteKind, Service};
use googletest::prelude::*;
use smallvec::smallvec;
use std::time::Duration;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_string(),
        host: "desk.example".to_string(),
        path_prefix: prefix.to_string(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(600),
        event_gap: Duration::ZERO,
        priority: 1,
        is_public: false,
        max_attempts: 2,
        home_regions: None,
        split: smallvec![("writer".to_string(), 90), ("desk".to_string(), 10)],
    }
}

fn organisation(name: &str, key: &str) -> Organisation {
    Organisation {
        name: name.to_string(),
        keys: vec![key.to_string()],
        priority: None,
        home_regions: None,
        quota: Some(Quota {
            rate_per_s: 9_000,
            burst: 9_000,
            counts_tokens: true,
            default_tokens: 200,
        }),
    }
}

fn draft() -> ConfigDraft {
    let service = |name: &str| Service {
        name: name.to_string(),
        max_connections: 100,
        is_engine: false,
        cold_start: None,
    };
    ConfigDraft {
        version: 7,
        routes: vec![route("quotes", "/quotes/"), route("all", "/")],
        services: vec![service("writer"), service("desk")],
        organisations: vec![organisation("north", "key-1"), organisation("south", "key-2")],
        limits: CallerLimits::default(),
    }
}

/// A mistake, with the entry and the field at which it is to be found.
type Mistake = (fn(&mut ConfigDraft), Severity, &'static str, &'static str);

/// Guards against mistakes that the check misses, and against ones that it reports where they are not.
#[gtest]
fn each_mistake_is_found_where_it_is() {
    let mistakes: &[Mistake] = &[
        (
            |draft| draft.routes.push(route("late", "/quotes/")),
            Severity::Error,
            "route late",
            "path prefix",
        ),
        (
            |draft| draft.routes[0].path_prefix = "/quotes".to_string(),
            Severity::Error,
            "route quotes",
            "path prefix",
        ),
        (
            |draft| draft.routes[0].host = "desk.example:80".to_string(),
            Severity::Error,
            "route quotes",
            "host",
        ),
        (
            |draft| draft.routes[0].split[0].0 = "lost".to_string(),
            Severity::Error,
            "route quotes",
            "services",
        ),
        (|draft| draft.routes[0].split[0].1 = 0, Severity::Warning, "route quotes", "services"),
        (|draft| draft.routes[0].split.clear(), Severity::Error, "route quotes", "services"),
        (
            |draft| draft.routes[0].objective = Duration::from_secs(7),
            Severity::Error,
            "route quotes",
            "objective",
        ),
        (
            |draft| draft.routes[0].timeout = Duration::ZERO,
            Severity::Error,
            "route quotes",
            "timeout",
        ),
        (
            |draft| draft.routes[0].event_gap = Duration::from_secs(1),
            Severity::Warning,
            "route quotes",
            "event gap",
        ),
        (
            |draft| draft.routes[0].kind = RouteKind::AtMostOnce,
            Severity::Warning,
            "route quotes",
            "max attempts",
        ),
        (
            |draft| draft.routes[0].max_attempts = 50,
            Severity::Warning,
            "route quotes",
            "max attempts",
        ),
        (
            |draft| draft.services.push(draft.services[0].clone()),
            Severity::Error,
            "service writer",
            "name",
        ),
        (
            |draft| draft.routes.iter_mut().for_each(|route| route.split.truncate(1)),
            Severity::Warning,
            "service desk",
            "name",
        ),
        (
            |draft| draft.organisations.push(organisation("north", "key-3")),
            Severity::Error,
            "organisation north",
            "name",
        ),
        (
            |draft| draft.organisations[0].keys.clear(),
            Severity::Warning,
            "organisation north",
            "keys",
        ),
        (
            |draft| draft.organisations[1].keys.push("key-1".to_string()),
            Severity::Error,
            "organisation south",
            "keys",
        ),
        (
            |draft| {
                draft.organisations[0].quota = Some(Quota {
                    rate_per_s: 100,
                    burst: 100,
                    counts_tokens: true,
                    default_tokens: 200,
                });
            },
            Severity::Error,
            "organisation north",
            "quota",
        ),
        (|draft| draft.limits.body_bytes = 0, Severity::Error, "limits", "body bytes"),
        (
            |draft| draft.limits.idle_timeout = Duration::ZERO,
            Severity::Error,
            "limits",
            "idle timeout",
        ),
    ];
    expect_that!(check_draft(&draft()), is_empty());
    for (make, severity, entry, field) in mistakes {
        let mut draft = draft();
        make(&mut draft);
        let found = check_draft(&draft);
        expect_that!(
            found,
            contains(matches_pattern!(Finding {
                severity: eq(severity),
                entry: eq(*entry),
                field: eq(*field),
                ..
            })),
            "{entry}, {field}"
        );
        expect_that!(found.len(), le(2), "{entry}, {field}: {found:?}");
    }
}

/// Guards against a change that takes something from callers without being named as a refusal.
#[gtest]
fn changes_that_refuse_requests_come_first() {
    let (from, mut to) = (draft(), draft());
    expect_that!(list_changes(&from, &ConfigDraft { version: 8, ..from.clone() }), is_empty());
    to.version = 8;
    to.routes.remove(1);
    to.organisations[0].keys.clear();
    to.organisations[1].quota =
        Some(Quota { rate_per_s: 5_000, burst: 9_000, counts_tokens: true, default_tokens: 200 });
    to.routes[0].timeout = Duration::from_secs(5);
    let changes = list_changes(&from, &to);
    let refused: Vec<&str> = changes
        .iter()
        .take_while(|change| change.refuses)
        .map(|change| change.entry.as_str())
        .collect();
    expect_that!(
        refused,
        elements_are![
            eq(&"organisation north"),
            eq(&"organisation south"),
            eq(&"route all (desk.example/)")
        ]
    );
    expect_that!(
        changes.last().map(|change| change.message.as_str()),
        some(eq("timeout in ms: 6000, then 5000"))
    );
}

/// Guards against a configuration that is sent under an old number, which nodes ignore.
#[gtest]
fn version_that_does_not_rise_is_reported() {
    let changes = list_changes(&draft(), &draft());
    expect_that!(changes.first().map(|change| change.refuses), some(eq(true)));
}
