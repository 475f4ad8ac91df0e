use crate::process::{EndReservation, NodeState, ReservationResult, ReserveKey};
use crate::request::Refused;
use crate::request::answer_channel::{AnswerHead, AnswerSender, AnswerStart};
use crate::request::ending::Ending;
use crate::request::job::Job;
use crate::request::progress::{Progress, ReservationStage};
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use agatecourse_types::ResultCode;
use agatecourse_wire::request::{DispatchOutcome, KnownOutcome, Reservation};
use std::cell::RefCell;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

// The reservation ends a little before the request, so that its refusal says whether an earlier request runs.
const MARGIN: Duration = Duration::from_millis(20);

/// What a request on a non-idempotent route does after its reservation.
#[derive(Debug)]
pub(crate) enum Next {
    /// It is dispatched.
    Dispatch,
    /// It gets the outcome of an earlier request.
    Repeat(KnownOutcome),
}

/// Reserves the idempotency key of a request on a non-idempotent route before it is scheduled.
///
/// # Errors
///
/// Refuses requests without a key, those whose deadline is too far for the retention of keys, and those that the
/// journal refuses or does not answer in time.
pub(crate) async fn reserve(
    state: &NodeState,
    job: &Job,
    progress: &RefCell<Progress>,
) -> Result<Next, Refused> {
    if job.idempotent {
        return Ok(Next::Dispatch);
    }
    let Some(key) = job.key.clone() else {
        let detail = "expected the header `Idempotency-Key` on this route";
        return Err(Refused::new(ResultCode::KeyRequired, detail));
    };
    let left = job.deadline.saturating_duration_since(Instant::now());
    // A key that is forgotten while its request runs could be granted again.
    let longest = job.view.config.journal.retention / 2;
    if left > longest {
        let detail = format!("expected at most {} ms on this route", longest.as_millis());
        return Err(Refused::new(ResultCode::BadDeadline, detail));
    }
    let (reply, answer) = oneshot::channel();
    let reservation = Reservation {
        request_id: job.request_id,
        key,
        body_hash: job.fingerprint,
        deadline_in: left.saturating_sub(MARGIN),
    };
    progress.borrow_mut().reservation = ReservationStage::Asked;
    state.journal.do_send(ReserveKey { reservation, reply });
    match answer.await {
        Ok(ReservationResult::Granted) => {
            progress.borrow_mut().reservation = ReservationStage::Granted;
            Ok(Next::Dispatch)
        }
        Ok(ReservationResult::Ended(outcome)) => {
            progress.borrow_mut().reservation = ReservationStage::None;
            Ok(Next::Repeat(outcome))
        }
        Ok(ReservationResult::Refused(code)) => {
            progress.borrow_mut().reservation = ReservationStage::None;
            Err(refusal(code))
        }
        Err(_) => Err(refusal(ResultCode::JournalUnavailable)),
    }
}

fn refusal(code: ResultCode) -> Refused {
    let detail = match code {
        ResultCode::KeyReused => "the key was used before with another method, path or body",
        ResultCode::EarlierRunning => "the earlier request has no outcome yet",
        _ => "the key could not be reserved in time",
    };
    let refused = Refused::new(code, detail);
    if code == ResultCode::KeyReused {
        return refused;
    }
    refused.with_retry_after(Duration::from_secs(1))
}

/// Tells the journal how a request ended: with an outcome once it was dispatched, otherwise that it gives its key
/// back.
pub(crate) fn settle(state: &NodeState, job: &Job, progress: &RefCell<Progress>, sent: bool) {
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

/// Sends the outcome of an earlier request with the same key.
pub(crate) async fn repeat(out: &AnswerSender, outcome: KnownOutcome) -> Ending {
    let unknown = |detail: String| {
        let refused = Refused::new(ResultCode::EarlierUnknown, detail);
        Ending::failed(refused, DispatchOutcome::NotSent)
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
    let repeated = HeaderName::from_static("idempotent-replayed");
    headers.insert(repeated, HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    match out.start(AnswerStart::Whole(AnswerHead { status, headers }, body.into())).await {
        Ok(()) => Ending::Answered,
        Err(error) => error.into(),
    }
}
