//! A planned stop.

use super::home::Fault;
use super::proxy::{PATIENCE, Proxy, Setup, detail, sqlstate};
use stilequay_daemon::app::front::FrontSettings;
use tokio::time::timeout;

const WRITE: &str = "INSERT INTO kits VALUES (1)";

async fn served(proxy: Proxy) {
    let served = timeout(PATIENCE, proxy.serving).await;
    served.expect("serving ends").unwrap();
}

#[tokio::test]
async fn an_idle_caller_is_told_and_no_new_one_is_let_in() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    client.batch_execute(WRITE).await.unwrap();
    let config = proxy.client_config();
    proxy.leaving.cancel();
    let error = client.batch_execute(WRITE).await.unwrap_err();
    // The client may see the message or only the end of the connection, as it
    // happens to be writing or reading.
    assert!(["57P01", "none"].contains(&sqlstate(&error)), "{error:?}");
    assert_eq!(proxy.homes.record().runs.len(), 1);
    served(proxy).await;
    assert!(super::proxy::connect(&config).await.is_err());
}

#[tokio::test]
async fn a_unit_in_progress_is_finished() {
    let proxy = Setup::with_faults([Fault::UntilReleased]).start().await;
    let client = proxy.connect().await;
    let query = tokio::spawn(async move { client.batch_execute(WRITE).await });
    proxy.homes.wait_for(|it| it.runs.len() == 1).await;
    proxy.leaving.cancel();
    proxy.homes.permit();
    query.await.unwrap().expect("the unit is answered");
    served(proxy).await;
}

#[tokio::test]
async fn a_transaction_in_progress_is_finished() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    client.batch_execute("BEGIN").await.unwrap();
    proxy.leaving.cancel();
    client.batch_execute(WRITE).await.unwrap();
    client.batch_execute("COMMIT").await.unwrap();
    let homes = proxy.homes.clone();
    served(proxy).await;
    let record = homes.record();
    assert_eq!((record.runs.len(), record.releases), (3, 1));
}

#[tokio::test]
async fn what_does_not_finish_in_time_is_cut_with_its_verdict() {
    let settings = FrontSettings {
        drain_millis: 50,
        ..FrontSettings::default()
    };
    let setup = Setup {
        settings,
        ..Setup::with_faults([Fault::Silent])
    };
    let proxy = setup.start().await;
    let client = proxy.connect().await;
    let query = tokio::spawn(async move { client.batch_execute(WRITE).await });
    proxy.homes.wait_for(|it| it.runs.len() == 1).await;
    proxy.leaving.cancel();
    let error = query.await.unwrap().unwrap_err();
    assert_eq!(
        (sqlstate(&error), detail(&error)),
        ("08007", "verdict=MayHaveRun")
    );
    served(proxy).await;
}
