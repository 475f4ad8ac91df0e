use super::CallerRequest;
use super::admission::AdmittedRequest;
use crate::connection::HeaderNames;
use crate::version::Target;
use std::time::Duration;

/// Serializes the request for a target: removes hop-by-hop and reserved headers, and sets deadline, expected target,
/// organisation and the event id to resume after. A body that is not joined to the head follows it.
pub(crate) fn outbound_request(
    request: &CallerRequest,
    admitted: &AdmittedRequest,
    target: &Target,
    header_names: &HeaderNames,
    left: Duration,
    resume_after: Option<&str>,
) -> Vec<u8> {
    let head = &request.head;
    let joined_bytes = if request.is_body_joined() { request.body.len() } else { 0 };
    let mut out = Vec::with_capacity(1_024 + joined_bytes);
    out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.path).as_bytes());
    let is_excluded = |name: &str| {
        name.eq_ignore_ascii_case(&header_names.deadline_ms)
            || name.eq_ignore_ascii_case(&header_names.expected_target)
            || name.eq_ignore_ascii_case(&header_names.organisation)
            || header_names.reserved.iter().any(|reserved| name.eq_ignore_ascii_case(reserved))
            || (name.eq_ignore_ascii_case("authorization") && admitted.uses_api_keys)
            || (resume_after.is_some() && name.eq_ignore_ascii_case(&header_names.last_event_id))
    };
    head.headers.write_end_to_end(&mut out, is_excluded);
    let mut line = |name: &str, value: &str| {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    line(&header_names.deadline_ms, &left.as_millis().to_string());
    line(&header_names.expected_target, &target.id);
    if let Some(organisation) = &admitted.organisation {
        line(&header_names.organisation, organisation);
    }
    if let Some(id) = resume_after {
        line(&header_names.last_event_id, id);
    }
    if !request.body.is_empty()
        || !matches!(head.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS")
    {
        line("Content-Length", &request.body.len().to_string());
    }
    out.extend_from_slice(b"\r\n");
    if request.is_body_joined() {
        request.body.segments().for_each(|segment| out.extend_from_slice(segment));
    }
    out
}
