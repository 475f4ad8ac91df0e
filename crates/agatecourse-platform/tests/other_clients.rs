//! Tests of the object store, weight store and VM list clients against their stand-ins.

use agatecourse_platform::{
    ObjectStoreClient, PlatformError, VmEntry, VmListClient, VmState, WeightStoreClient,
};
use agatecourse_standin::{ObjectStoreSettings, Standin, VmListSettings, WeightStoreSettings};
use googletest::prelude::*;
use serde_json::json;
use std::time::Duration;

/// Guards against a client that mixes up objects or buckets, reports a missing object as an error, or sends a key
/// that addresses another object.
#[gtest]
#[actix_rt::test]
async fn object_store_returns_written_objects() -> googletest::Result<()> {
    let standin = ObjectStoreSettings::new().start(Standin::EPHEMERAL).or_fail()?;
    let store = ObjectStoreClient::new(standin.address(), "audit");
    expect_that!(store.get("moves/1").await.or_fail()?, none());
    store.put("moves/1", vec![0, 255]).await.or_fail()?;
    store.put("moves/2", "other").await.or_fail()?;
    expect_that!(store.get("moves/1").await.or_fail()?.or_fail()?.to_vec(), eq(&[0, 255]));
    let other_bucket = ObjectStoreClient::new(standin.address(), "backup");
    expect_that!(other_bucket.get("moves/1").await.or_fail()?, none());
    for key in ["moves/1?x", "moves%2F1", "../audit", "", "moves//1"] {
        let refused = store.put(key, "lost").await;
        expect_that!(refused, err(pat!(PlatformError::InvalidName { .. })), "{key}");
    }

    standin.change_faults(&json!({"outage": true})).or_fail()?;
    let refused = store.get("moves/1").await;
    expect_that!(refused, err(pat!(PlatformError::Refused { status: eq(&503), .. })));
    Ok(())
}

/// Guards against download estimates that assume the full rate of the weight store for each of several concurrent
/// readers.
#[gtest]
#[actix_rt::test]
async fn weight_store_rate_is_divided_among_readers() -> googletest::Result<()> {
    let settings = WeightStoreSettings::new().with_rate_bytes_per_s(1_000).with_size_bytes(5_000);
    let standin = settings.with_missing("v9").start(Standin::EPHEMERAL).or_fail()?;
    let store = WeightStoreClient::new(standin.address());
    let mut rates = Vec::new();
    for _ in 0..2 {
        let info = store.info("model", "v2").await.or_fail()?.or_fail()?;
        expect_that!(info.size_bytes, eq(5_000));
        rates.push(info.rate_bytes_per_s);
    }
    expect_that!(rates, eq(&[1_000, 500]));
    expect_that!(store.info("model", "v9").await.or_fail()?, none());
    Ok(())
}

/// Guards against a stand-in whose VM list has no lag: code that relies on an up-to-date list would pass its tests.
#[gtest]
#[actix_rt::test]
async fn vm_list_shows_changes_after_the_lag() -> googletest::Result<()> {
    let lag = Duration::from_millis(300);
    let entry = |state| VmEntry {
        vm: "vm-1".to_string(),
        zone: "zone-a".to_string(),
        address: Standin::EPHEMERAL,
        state,
    };
    let settings = VmListSettings::new().with_vms(vec![entry(VmState::Live)]).with_lag(lag);
    let standin = settings.start(Standin::EPHEMERAL).or_fail()?;
    let list = VmListClient::new(standin.address());
    let put = awc::Client::default().put(format!("http://{}/v1/vms", standin.address()));
    let put = put.send_json(&[entry(VmState::Leaving)]).await.or_fail()?;
    expect_that!(put.status().as_u16(), eq(200));
    expect_that!(list.list().await.or_fail()?, eq(&[entry(VmState::Live)]));
    actix_rt::time::sleep(lag).await;
    expect_that!(list.list().await.or_fail()?, eq(&[entry(VmState::Leaving)]));
    Ok(())
}
