//! The object store against the real client library.

mod support;

use futures::TryStreamExt;
use object_store::path::Path;
use object_store::{
    Error, ObjectStore, ObjectStoreExt, PutMode, PutOptions, PutPayload, UpdateVersion,
};
use rstest::rstest;
use std::num::NonZeroU32;
use stilequay_standin::platform::{LossMoment, Outage, ServiceFaults, ServiceName};
use support::{lose_next, object_client, platform};

fn update(version: UpdateVersion) -> PutOptions {
    PutMode::Update(version).into()
}

async fn body(store: &impl ObjectStore, path: &Path) -> Vec<u8> {
    let found = store.get(path).await.expect("there");
    found.bytes().await.expect("whole").to_vec()
}

#[tokio::test]
async fn conditional_puts_let_one_writer_through() {
    let platform = platform().await;
    let store = object_client(&platform);
    let path = Path::from("snapshots/latest");
    let create: PutOptions = PutMode::Create.into();

    let first = store
        .put_opts(&path, "1".into(), create.clone())
        .await
        .expect("absent");
    let second = store.put_opts(&path, "2".into(), create).await;
    assert!(matches!(second, Err(Error::AlreadyExists { .. })));

    let version = UpdateVersion::from(first);
    store
        .put_opts(&path, "3".into(), update(version.clone()))
        .await
        .expect("current version");
    let stale = store.put_opts(&path, "4".into(), update(version)).await;
    assert!(matches!(stale, Err(Error::Precondition { .. })));
    assert_eq!(body(&store, &path).await, b"3");
}

#[tokio::test]
async fn objects_are_listed_described_and_deleted() {
    let platform = platform().await;
    let store = object_client(&platform);
    for name in ["a/1", "a/2", "a&b/3", "c"] {
        store
            .put(&Path::from(name), PutPayload::from_static(b"xyz"))
            .await
            .expect("written");
    }
    let prefix = Path::from("a");
    let listed: Vec<_> = store
        .list(Some(&prefix))
        .try_collect()
        .await
        .expect("listed");
    let names: Vec<_> = listed
        .iter()
        .map(|object| object.location.to_string())
        .collect();
    assert_eq!(names, ["a/1", "a/2"]);
    let top = store.list_with_delimiter(None).await.expect("listed");
    assert_eq!(top.common_prefixes.len(), 2);
    assert_eq!(top.objects.len(), 1);

    let path = Path::from("a/1");
    assert_eq!(store.head(&path).await.expect("there").size, 3);
    store.delete(&path).await.expect("deleted");
    assert!(matches!(
        store.head(&path).await,
        Err(Error::NotFound { .. })
    ));
}

#[rstest]
#[case::throttled(ServiceFaults { calls_per_second: NonZeroU32::new(1), ..ServiceFaults::default() })]
#[case::refused(ServiceFaults { outage: Some(Outage::Refuse), ..ServiceFaults::default() })]
#[case::failing(ServiceFaults { outage: Some(Outage::Error), ..ServiceFaults::default() })]
#[tokio::test]
async fn faults_show_and_end(#[case] faults: ServiceFaults) {
    let platform = platform().await;
    let store = object_client(&platform);
    let path = Path::from("snapshot");
    store.put(&path, "1".into()).await.expect("written");
    platform.set_faults(ServiceName::Objects, faults).await;
    let failed = support::patiently(async {
        loop {
            if let Err(error) = store.get(&path).await {
                return error;
            }
        }
    });
    assert!(matches!(failed.await, Error::Generic { .. }));
    platform.clear_faults(ServiceName::Objects).await;
    assert_eq!(body(&store, &path).await, b"1");
}

#[tokio::test]
async fn a_put_whose_answer_is_lost_has_taken_effect() {
    let platform = platform().await;
    let store = object_client(&platform);
    let faults = lose_next(1, "PUT", LossMoment::AfterEffect);
    platform.set_faults(ServiceName::Objects, faults).await;
    let path = Path::from("snapshot");
    store.put(&path, "1".into()).await.expect_err("no answer");
    assert_eq!(body(&store, &path).await, b"1");
}
