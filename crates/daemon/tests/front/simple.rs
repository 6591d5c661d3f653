//! Simple queries, logging in, and being refused.

use super::proxy::{Proxy, Setup, connect, sqlstate};
use rstest::rstest;
use stilequay_daemon::app::front::FrontSettings;
use stilequay_daemon::domain::exchange::{Access, Freshness};
use tokio_postgres::SimpleQueryMessage;

#[tokio::test]
async fn a_read_and_a_write_are_run_and_share_their_connections() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    let answer = client.simple_query("SELECT 'dal'").await.unwrap();
    let row = answer.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    assert_eq!(row, Some("SELECT 'dal'"));
    client
        .batch_execute("INSERT INTO kits VALUES (1)")
        .await
        .unwrap();
    let record = proxy.homes.wait_for(|it| it.releases == 2).await;
    let accesses: Vec<_> = record.runs.iter().map(|run| run.access).collect();
    assert_eq!(accesses, [Access::Read(Freshness::Barrier), Access::Write]);
    assert_eq!(record.drops, 0);
}

#[tokio::test]
async fn a_transaction_stays_on_one_exchange() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    for text in ["BEGIN", "SELECT 1", "INSERT INTO kits VALUES (1)", "COMMIT"] {
        client.batch_execute(text).await.unwrap();
    }
    let record = proxy.homes.wait_for(|it| it.releases == 1).await;
    assert_eq!(record.opens.len(), 1);
    assert_eq!(record.runs.len(), 4);
    assert!(record.runs.iter().all(|run| run.access == Access::Write));
}

#[tokio::test]
async fn an_error_of_the_back_end_is_passed_on_and_the_connection_goes_on() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    let error = client.batch_execute("FAIL").await.unwrap_err();
    assert_eq!(sqlstate(&error), "42P01");
    client.batch_execute("SELECT 1").await.unwrap();
}

#[rstest]
#[case::wrong_password("orders", "shop", "wrong", "28P01")]
#[case::unknown_user("nobody", "shop", "grain of rice", "28P01")]
#[case::unknown_database("orders", "nothing", "grain of rice", "3D000")]
#[case::not_permitted("orders", "stock", "grain of rice", "42501")]
#[tokio::test]
async fn who_may_not_enter_is_told_why(
    #[case] user: &str,
    #[case] database: &str,
    #[case] password: &str,
    #[case] expected: &str,
) {
    let proxy = Proxy::start().await;
    let mut config = proxy.client_config();
    config.user(user).dbname(database).password(password);
    let error = connect(&config).await.expect_err("refused");
    assert_eq!(sqlstate(&error), expected);
    assert_eq!(error.as_db_error().unwrap().severity(), "FATAL");
}

#[rstest]
#[case::of_the_service(1, 100)]
#[case::of_the_daemon(100, 1)]
#[tokio::test]
async fn connections_over_the_limit_are_refused(#[case] service: u32, #[case] daemon: u32) {
    let settings = FrontSettings {
        max_connections: daemon,
        ..FrontSettings::default()
    };
    let setup = Setup {
        max_connections: Some(service),
        ..Setup::with_settings(settings)
    };
    let proxy = setup.start().await;
    let first = proxy.connect().await;
    let error = connect(&proxy.client_config()).await.expect_err("refused");
    assert_eq!(sqlstate(&error), "53300");
    first.batch_execute("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn a_right_that_is_taken_away_is_gone_at_the_next_request() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    client.batch_execute("SELECT 1").await.unwrap();
    proxy.configuration.send_modify(|configuration| {
        let mut changed = (**configuration.as_ref().unwrap()).clone();
        changed.services.clear();
        *configuration = Some(changed.into());
    });
    let error = client.batch_execute("SELECT 1").await.unwrap_err();
    assert_eq!(sqlstate(&error), "28000");
    assert_eq!(proxy.homes.record().runs.len(), 1);
}
