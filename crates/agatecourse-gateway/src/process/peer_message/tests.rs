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
