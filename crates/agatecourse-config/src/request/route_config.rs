use crate::ini::SectionReader;
use agatecourse_types::RouteId;
use serde::Serialize;
use std::time::Duration;

/// Protocol of a route's targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Chat-completions requests to model engines.
    #[default]
    Model,
    /// Plain HTTP requests to services.
    Service,
}

/// Route, from a section `[route.<name>]`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: RouteId,
    /// Protocol of the targets.
    pub kind: RouteKind,
    /// Whether a request may safely run more than once; requests of other routes are reserved in the journal.
    pub idempotent: bool,
    /// Name of the model in requests to the engine; the route's name unless set.
    pub model: String,
    /// Longest time to the first token before a request counts as slow.
    pub first_token: Duration,
    /// Longest mean time between tokens before a request counts as slow.
    pub token_gap: Duration,
    /// Longest time without a byte from the target before the connection is probed.
    pub progress_timeout: Duration,
    /// Initial estimate of the time of a service call, used until one was measured.
    pub service_time: Duration,
    /// Largest number of requests in the queue of one pool of the route.
    pub queue_limit: usize,
}

impl RouteConfig {
    pub(crate) fn read(mut reader: SectionReader<'_>) -> Self {
        let name = reader.name();
        let value = Self {
            kind: reader.required("kind", "`model` or `service`", |text| match text {
                "model" => Some(RouteKind::Model),
                "service" => Some(RouteKind::Service),
                _ => None,
            }),
            idempotent: reader.required_flag("idempotent"),
            model: reader.optional_text("model").unwrap_or_else(|| name.clone()),
            first_token: reader.milliseconds("first_token_ms", Duration::from_millis(300)),
            token_gap: reader.milliseconds("token_gap_ms", Duration::from_millis(46)),
            progress_timeout: reader.milliseconds("progress_timeout_ms", Duration::from_secs(2)),
            service_time: reader.milliseconds("service_time_ms", Duration::from_millis(50)),
            queue_limit: reader.number("queue_limit", 4096, 1, 65_536),
            name,
        };
        reader.finish(
            "kind, idempotent, model, first_token_ms, token_gap_ms, progress_timeout_ms, \
             service_time_ms, queue_limit",
        );
        value
    }
}
