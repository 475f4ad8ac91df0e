use crate::process::{EndReservation, NodeState, ReservationResult, ReserveKey};
use crate::request::RequestError;
use crate::request::job::Job;
use crate::request::job_progress::{JobProgress, ReservationStage};
use crate::request::request_end::RequestEnd;
use crate::request::response_channel::{ResponseHead, ResponseSender, ResponseStart};
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use agatecourse_types::ResultCode;
use agatecourse_wire::request::{DispatchOutcome, KnownOutcome, Reservation};
use std::cell::RefCell;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

// The reservation ends this long before the request's deadline, so that its error can still report whether an
// earlier request is running.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// How a request continues after the reservation of its key.
#[derive(Debug)]
pub(crate) enum ReservationDecision {
    /// The key is reserved or not needed, so the request may be dispatched.
    Dispatch,
    /// The caller receives the recorded outcome of an earlier request with the key.
    Replay(KnownOutcome),
}

/// Reserves the idempotency key of a request on a non-idempotent route before it is scheduled.
///
/// # Errors
///
/// Returns an error when the request has no key, when its deadline exceeds half the retention of keys, and when the
/// journal refuses the reservation or does not reply in time.
pub(crate) async fn reserve_key(
    state: &NodeState,
    job: &Job,
    progress: &RefCell<JobProgress>,
) -> Result<ReservationDecision, RequestError> {
    if job.idempotent {
        return Ok(ReservationDecision::Dispatch);
    }
    let Some(key) = job.key.clone() else {
        let detail = "expected the header `Idempotency-Key` on this route";
        return Err(RequestError::new(ResultCode::KeyRequired, detail));
    };
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    // A key that expires while its request runs could be reserved a second time.
    let max_deadline = job.view.config.journal.retention / 2;
    if remaining > max_deadline {
        let detail = format!("expected at most {} ms on this route", max_deadline.as_millis());
        return Err(RequestError::new(ResultCode::BadDeadline, detail));
    }
    let (reply, answer) = oneshot::channel();
    let reservation = Reservation {
        request_id: job.request_id,
        key,
        body_hash: job.fingerprint,
        deadline_in: remaining.saturating_sub(DEADLINE_MARGIN),
    };
    progress.borrow_mut().reservation = ReservationStage::Asked;
    state.journal.do_send(ReserveKey { reservation, reply });
    match answer.await {
        Ok(ReservationResult::Granted) => {
            progress.borrow_mut().reservation = ReservationStage::Granted;
            Ok(ReservationDecision::Dispatch)
        }
        Ok(ReservationResult::Ended(outcome)) => {
            progress.borrow_mut().reservation = ReservationStage::None;
            Ok(ReservationDecision::Replay(outcome))
        }
        Ok(ReservationResult::Refused(code)) => {
            progress.borrow_mut().reservation = ReservationStage::None;
            Err(reservation_error(code))
        }
        Err(_) => Err(reservation_error(ResultCode::JournalUnavailable)),
    }
}

fn reservation_error(code: ResultCode) -> RequestError {
    let detail = match code {
        ResultCode::KeyReused => "the key was used before with another method, path or body",
        ResultCode::EarlierRunning => "the earlier request has no outcome yet",
        _ => "the key could not be reserved in time",
    };
    let error = RequestError::new(code, detail);
    if code == ResultCode::KeyReused {
        return error;
    }
    error.with_retry_after(Duration::from_secs(1))
}

/// Reports the outcome of a dispatched request to the journal, or releases the key of a request that was not sent.
pub(crate) fn end_reservation(
    state: &NodeState,
    job: &Job,
    progress: &RefCell<JobProgress>,
    sent: bool,
) {
    let mut progress = progress.borrow_mut();
    let outcome = match progress.reservation {
        ReservationStage::None => return,
        ReservationStage::Granted if sent => {
            Some(progress.answer.take().unwrap_or(KnownOutcome::Unknown))
        }
        ReservationStage::Asked | ReservationStage::Granted => None,
    };
    progress.reservation = ReservationStage::None;
    state.journal.do_send(EndReservation { request_id: job.request_id, outcome });
}

/// Sends the caller the recorded outcome of an earlier request with the same key.
pub(crate) async fn replay_outcome(response: &ResponseSender, outcome: KnownOutcome) -> RequestEnd {
    let unknown = |detail: String| {
        let error = RequestError::new(ResultCode::EarlierUnknown, detail);
        RequestEnd::failed(error, DispatchOutcome::NotSent)
    };
    let (status, content_type, body) = match outcome {
        KnownOutcome::Answered { status, content_type, body: Some(body), .. } => {
            (status, content_type, body)
        }
        KnownOutcome::Answered { status, .. } => {
            return unknown(format!(
                "the earlier request ended with status {status}; its answer was too large to keep"
            ));
        }
        KnownOutcome::Unknown => {
            return unknown("the earlier request may have run".to_string());
        }
    };
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&content_type)
        && !content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    let replayed_header = HeaderName::from_static("idempotent-replayed");
    headers.insert(replayed_header, HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    match response
        .send_start(ResponseStart::Whole(ResponseHead { status, headers }, body.into()))
        .await
    {
        Ok(()) => RequestEnd::Answered,
        Err(error) => error.into(),
    }
}
