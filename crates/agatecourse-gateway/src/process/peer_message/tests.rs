use super::*;
use googletest::prelude::*;

/// Heartbeat as nodes before the quota bounds sent it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierHeartbeat {
    started_unix_ms: u64,
    uptime_ms: u32,
    is_stopping: bool,
    members: Vec<(NodeId, Ipv4Addr)>,
    documents: SmallVec<[(DocumentId, u64); 2]>,
    usage: Vec<OrganisationUse>,
    crashes: Vec<(SuspectKey, TargetHash)>,
    rollouts: SmallVec<[RolloutReport; 1]>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierMessage {
    Heartbeat(EarlierHeartbeat),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierEnvelope {
    from: NodeId,
    message: EarlierMessage,
}

fn usage() -> Vec<OrganisationUse> {
    vec![OrganisationUse { organisation: u64::MAX, own: 300, total: 70_000 }]
}

/// Guards against nodes of two versions that do not understand each other's heartbeats while one replaces the other.
#[gtest]
fn heartbeats_of_earlier_nodes_decode_with_empty_values() {
    let earlier = EarlierEnvelope {
        from: "n1".to_string(),
        message: EarlierMessage::Heartbeat(EarlierHeartbeat {
            started_unix_ms: 9,
            uptime_ms: 1,
            is_stopping: true,
            members: vec![("n2".to_string(), Ipv4Addr::LOCALHOST)],
            documents: SmallVec::from_slice(&[(1, 2)]),
            usage: usage(),
            crashes: vec![(3, 4)],
            rollouts: SmallVec::new(),
        }),
    };
    let mut buffer = vec![0xff_u8; MAX_MESSAGE_BYTES];
    let length = postcard::to_slice(&earlier, &mut buffer).expect("it fits").len();
    let decoded = PeerEnvelope::decode(&mut buffer, length).expect("it decodes");
    let PeerMessage::Heartbeat(heartbeat) = decoded.message else { panic!("not a heartbeat") };
    expect_that!(heartbeat.usage, eq(&usage()));
    expect_that!(heartbeat.crashes, eq(&vec![(3, 4)]));
    expect_that!(heartbeat.quota_bounds_version, eq(0));
    expect_that!(heartbeat.quota_reports, is_empty());
    expect_that!(heartbeat.is_usage_complete, eq(false));
    expect_that!(heartbeat.crash_notices, is_empty());
    expect_that!(heartbeat.quarantine_notices, is_empty());
    expect_that!(heartbeat.late_crash_notices, is_empty());
}

/// Guards against heartbeats of this version that nodes of earlier ones reject.
#[gtest]
fn earlier_nodes_decode_heartbeats() {
    let envelope = PeerEnvelope {
        from: "n1".to_string(),
        message: PeerMessage::Heartbeat(Box::new(Heartbeat {
            started_unix_ms: 9,
            usage: usage(),
            quota_bounds_version: 5,
            quota_reports: vec![QuotaReport { sent_total: 1, stored_bound: 2, enforced_bound: 3 }],
            is_usage_complete: true,
            crash_notices: vec![CrashNotice {
                target: 1,
                started_age_ms: 300,
                ended_age_ms: 30,
                keys: SuspectKeys::from_slice(&[u64::MAX, 2]),
            }],
            quarantine_notices: vec![QuarantineNotice { key: u64::MAX, crashes: 3, age_ms: 9 }],
            late_crash_notices: vec![CrashNotice {
                target: 2,
                started_age_ms: 900,
                ended_age_ms: 40,
                keys: SuspectKeys::from_slice(&[7, 8]),
            }],
            ..Heartbeat::default()
        })),
    };
    let bytes = postcard::to_allocvec(&envelope).expect("it can be encoded");
    let earlier: EarlierEnvelope = postcard::from_bytes(&bytes).expect("it decodes");
    let EarlierMessage::Heartbeat(heartbeat) = earlier.message;
    expect_that!(heartbeat.started_unix_ms, eq(9));
    expect_that!(heartbeat.usage, eq(&usage()));
    let mut buffer = vec![0_u8; MAX_MESSAGE_BYTES];
    buffer[..bytes.len()].copy_from_slice(&bytes);
    expect_that!(PeerEnvelope::decode(&mut buffer, bytes.len()), ok(eq(&envelope)));
}

/// Guards against heartbeats that their receivers can't decode: the fields after those of earlier versions decode from the padding, and a message of
/// the largest size that is sent fits the buffer with it.
#[gtest]
fn messages_of_the_largest_size_decode() {
    let envelope = |usage| PeerEnvelope {
        from: "n".repeat(63),
        message: PeerMessage::Heartbeat(Box::new(Heartbeat { usage, ..Heartbeat::default() })),
    };
    let size = |count| postcard::to_allocvec(&envelope(vec![usage()[0]; count])).map(|it| it.len());
    let count =
        (0..1_000).take_while(|count| size(*count).is_ok_and(|size| size <= MAX_DECODED_BYTES));
    let largest = envelope(vec![usage()[0]; count.last().expect("one fits")]);
    let mut buffer = vec![0xff_u8; RECEIVE_BUFFER_BYTES];
    let length = postcard::to_slice(&largest, &mut buffer).expect("it fits").len();
    expect_that!(length, ge(MAX_DECODED_BYTES - 30));
    expect_that!(PeerEnvelope::decode(&mut buffer, length), ok(eq(&largest)));
}

/// Submission as nodes before the fair order sent it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct EarlierJob {
    kind: u64,
    rank: u32,
    waited_ms: u32,
    objective_ms: u32,
    deadline_ms: u32,
    relative_size: f32,
    prompt_tokens: u32,
    shared_part: u64,
    zone: ZoneId,
    excluded: SmallVec<[TargetId; 2]>,
    is_retry: bool,
    version: VersionId,
    avoided_version: VersionId,
    suspects: SmallVec<[SuspectKey; 2]>,
    prompt_parts: PromptParts,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierQueueMessage {
    Heartbeat(()),
    Submit { queue: String, number: JobNumber, job: Box<EarlierJob> },
    Queued { number: JobNumber },
    Granted { number: JobNumber, target: TargetId },
    Refused { number: JobNumber, retry_after_ms: u32, predicted_wait_ms: u32 },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierQueueEnvelope {
    from: NodeId,
    message: EarlierQueueMessage,
}

fn earlier_job() -> EarlierJob {
    EarlierJob {
        kind: u64::MAX,
        rank: 18,
        waited_ms: 3,
        objective_ms: 1_200,
        deadline_ms: 10_000,
        relative_size: 1.0,
        prompt_tokens: 1_170,
        shared_part: 0,
        zone: "a".to_string(),
        excluded: SmallVec::new(),
        is_retry: false,
        version: String::new(),
        avoided_version: String::new(),
        suspects: SmallVec::from_slice(&[5]),
        prompt_parts: PromptParts::new(),
    }
}

/// Guards against nodes of two versions that do not understand each other's submissions and refusals while one replaces the other.
#[gtest]
fn queue_messages_pass_between_versions() {
    let job = Box::new(earlier_job());
    let earlier = EarlierQueueEnvelope {
        from: "n1".to_string(),
        message: EarlierQueueMessage::Submit { queue: "s/0".to_string(), number: 9, job },
    };
    let mut buffer = vec![0xff_u8; MAX_MESSAGE_BYTES];
    let length = postcard::to_slice(&earlier, &mut buffer).expect("it fits").len();
    let decoded = PeerEnvelope::decode(&mut buffer, length).expect("it decodes");
    let PeerMessage::Submit { job, .. } = &decoded.message else { panic!("not a submission") };
    expect_that!((job.organisation, job.weight, job.caller), eq((0, 0, 0)));
    expect_that!(job.suspects, eq(&earlier_job().suspects));

    let mut newer = decoded;
    if let PeerMessage::Submit { job, .. } = &mut newer.message {
        (job.organisation, job.weight, job.caller) = (u64::MAX, u32::MAX, u64::MAX);
    }
    let bytes = postcard::to_allocvec(&newer).expect("it can be encoded");
    expect_that!(postcard::from_bytes::<EarlierQueueEnvelope>(&bytes), ok(eq(&earlier)));

    let refused = PeerEnvelope {
        from: "n1".to_string(),
        message: PeerMessage::Refused {
            number: 9,
            retry_after_ms: 900,
            predicted_wait_ms: 4_000,
            urgent_wait_ms: 100,
            own_wait_ms: 3_000,
            has_place: true,
        },
    };
    let bytes = postcard::to_allocvec(&refused).expect("it can be encoded");
    let earlier: EarlierQueueEnvelope = postcard::from_bytes(&bytes).expect("it decodes");
    let expected =
        EarlierQueueMessage::Refused { number: 9, retry_after_ms: 900, predicted_wait_ms: 4_000 };
    expect_that!(earlier.message, eq(&expected));
    let mut buffer = vec![0xff_u8; MAX_MESSAGE_BYTES];
    let length = postcard::to_slice(&earlier, &mut buffer).expect("it fits").len();
    let decoded = PeerEnvelope::decode(&mut buffer, length).expect("it decodes");
    expect_that!(decoded.message, pat!(PeerMessage::Refused { has_place: eq(&false), .. }));
}
