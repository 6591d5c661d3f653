//! Choice of the member to promote, from the reports of the members.

use rstest::rstest;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
use std::time::Duration;
use stilequay_engine::directory::{Departure, Member, MemberState, Role};
use stilequay_engine::evacuation::Evacuations;
use stilequay_engine::group::{PositionSample, PositionSamples, PositionSource};
use stilequay_engine::leadership::choice::{FenceSurvey, Obstacle, PreviousLeader, fencing_term};
use stilequay_engine::leadership::record::FormerTarget;
use stilequay_engine::leadership::survey::{Response, SurveyedMember};
use stilequay_engine::ports::MemberReport;
use stilequay_engine::position::LogPosition;
use stilequay_engine::topology::Topology;
use tokio::time::Instant;

const TERM: u64 = 2;

fn address(name: &str) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, name.as_bytes()[0]], 5000))
}

fn surveyed(name: &str, state: MemberState, response: Response) -> SurveyedMember {
    let member = Member {
        id: name.into(),
        group: "ledger".into(),
        address: address(name),
        zone: "hall".into(),
        role: Role::Replica,
        slots: 3,
        cold_until: None,
        state,
        changed: 0,
    };
    SurveyedMember {
        ended_at: end_of(&member),
        member: Arc::new(member),
        response,
        answered_at: Instant::now(),
    }
}

/// When a member whose entry has gone is found to have ended: at once.
fn end_of(member: &Member) -> Option<Instant> {
    match member.state {
        MemberState::Gone(departure) => Some(departure.learned_at),
        _ => None,
    }
}

fn report(role: Role, received: u64, paused_for: u64) -> Response {
    Response::Report(MemberReport {
        role,
        term: 1,
        received: LogPosition::new(1, received),
        paused_for,
    })
}

fn paused(received: u64) -> Response {
    report(Role::Replica, received, TERM)
}

fn demoted(received: u64) -> Response {
    report(Role::Replica, received, 0)
}

fn declined() -> Response {
    Response::Declined("too many connections".to_owned())
}

fn silent() -> Response {
    Response::Silent("no answer".to_owned())
}

fn down() -> Response {
    Response::Down("refused".to_owned())
}

fn choose(responses: [Response; 3], sync_replicas: usize) -> Result<String, Obstacle> {
    let names = ["a", "b", "c"];
    let members: Vec<SurveyedMember> = names
        .iter()
        .zip(responses)
        .map(|(name, response)| surveyed(name, MemberState::Ready, response))
        .collect();
    choose_from(&members, sync_replicas)
}

fn choose_from(members: &[SurveyedMember], sync_replicas: usize) -> Result<String, Obstacle> {
    choose_with_known_position(members, sync_replicas, None)
}

fn choose_with_known_position(
    members: &[SurveyedMember],
    sync_replicas: usize,
    known: Option<LogPosition>,
) -> Result<String, Obstacle> {
    choose_after_attempts(members, &[], sync_replicas, known)
}

fn choose_after_attempts(
    members: &[SurveyedMember],
    former_targets: &[FormerTarget],
    sync_replicas: usize,
    known: Option<LogPosition>,
) -> Result<String, Obstacle> {
    let survey = FenceSurvey {
        former_targets,
        sync_replicas,
        known,
        samples: &samples_at(Instant::now(), known),
        ..survey_of(members)
    };
    chosen(&survey)
}

/// A survey after the old leader `a` was fenced, with one synchronous replica.
fn survey_of(members: &[SurveyedMember]) -> FenceSurvey<'_> {
    static PREVIOUS: LazyLock<PreviousLeader> = LazyLock::new(|| PreviousLeader {
        id: Some("a".into()),
        address: Some(address("a")),
    });
    static SAMPLES: LazyLock<PositionSamples> = LazyLock::new(PositionSamples::default);
    static EVACUATIONS: LazyLock<Evacuations> = LazyLock::new(Evacuations::default);
    static TOPOLOGY: LazyLock<Topology> =
        LazyLock::new(|| Topology::new("zone-a".into(), HashMap::new()));
    FenceSurvey {
        members,
        previous: &PREVIOUS,
        former_targets: &[],
        term: TERM,
        sync_replicas: 1,
        known: None,
        samples: &SAMPLES,
        evacuations: &EVACUATIONS,
        topology: &TOPOLOGY,
        are_entries_settled: true,
    }
}

fn samples_at(at: Instant, position: Option<LogPosition>) -> PositionSamples {
    let mut samples = PositionSamples::default();
    if let Some(position) = position {
        samples.record(PositionSample {
            position,
            at,
            epoch: 0,
            source: PositionSource::Leader,
        });
    }
    samples
}

fn chosen(survey: &FenceSurvey<'_>) -> Result<String, Obstacle> {
    let chosen = survey.choose(Instant::now());
    chosen.map(|member| member.to_string())
}

fn may_hold_more(name: &str) -> Result<String, Obstacle> {
    Err(Obstacle::MayHoldMore(name.into()))
}

fn not_fenced(name: &str) -> Result<String, Obstacle> {
    Err(Obstacle::NotFenced(name.into()))
}

/// The old leader is `a`.
#[rstest]
#[case::longest_log([silent(), paused(5), paused(7)], Ok("c".to_owned()))]
#[case::longest_log_after_a_leader_crash([down(), paused(8), paused(7)], Ok("b".to_owned()))]
#[case::one_replica_is_silent([silent(), paused(5), silent()], not_fenced("c"))]
#[case::one_replica_is_down([silent(), paused(5), down()], may_hold_more("c"))]
#[case::one_replica_refuses_connections([silent(), paused(5), declined()], not_fenced("c"))]
#[case::one_replica_is_not_paused([silent(), paused(5), report(Role::Replica, 5, 0)], not_fenced("c"))]
#[case::demoted_leader_has_an_equal_log([demoted(5), paused(5), silent()], Ok("b".to_owned()))]
#[case::demoted_leader_has_a_longer_log([demoted(9), paused(5), paused(7)], Ok("c".to_owned()))]
#[case::demoted_leader_has_a_longer_log_and_one_replica_is_silent([demoted(9), paused(5), silent()], Ok("a".to_owned()))]
#[case::only_the_demoted_leader_answers([demoted(9), silent(), silent()], Ok("a".to_owned()))]
#[case::no_member_answers([silent(), silent(), silent()], not_fenced("b"))]
#[case::all_others_are_down([silent(), down(), down()], Err(Obstacle::NoCandidate))]
fn member_with_every_acknowledged_commit_is_chosen(
    #[case] responses: [Response; 3],
    #[case] expected: Result<String, Obstacle>,
) {
    assert_eq!(choose(responses, 1), expected);
}

#[test]
fn longest_reported_log_is_chosen_without_synchronous_replicas() {
    assert_eq!(
        choose([silent(), paused(5), silent()], 0),
        Ok("b".to_owned())
    );
}

#[test]
fn among_equal_logs_a_member_that_is_not_leaving_is_chosen() {
    let since = Instant::now();
    let members = [
        surveyed("a", MemberState::Ready, silent()),
        surveyed("b", MemberState::Ready, paused(5)),
        surveyed("c", MemberState::Leaving(Departure::at(since)), paused(5)),
    ];
    assert_eq!(choose_from(&members, 1), Ok("b".to_owned()));
}

/// The old leader `a` is silent; its log was known to end at 7 after the departure of `d`. `d` took its log along, which may have been the only copy of what it received until then.
#[rstest]
#[case::recently(Duration::from_secs(1), Some(7), may_hold_more("d"))]
#[case::long_ago(Duration::from_secs(11), Some(7), Ok("c".to_owned()))]
#[case::long_ago_and_no_position_is_known(Duration::from_secs(11), None, may_hold_more("d"))]
#[tokio::test(start_paused = true)]
async fn gone_member_that_is_down_blocks_the_choice_until_its_commits_are_known_to_be_elsewhere(
    #[case] ago: Duration,
    #[case] known: Option<u64>,
    #[case] expected: Result<String, Obstacle>,
) {
    let since = Instant::now();
    tokio::time::advance(ago).await;
    let members = [
        surveyed("a", MemberState::Ready, silent()),
        surveyed("b", MemberState::Ready, paused(5)),
        surveyed("c", MemberState::Ready, paused(7)),
        surveyed("d", MemberState::Gone(Departure::at(since)), down()),
    ];
    let samples = samples_at(since, known.map(|number| LogPosition::new(1, number)));
    let survey = FenceSurvey {
        samples: &samples,
        ..survey_of(&members)
    };
    assert_eq!(chosen(&survey), expected);
}

/// The log of `d`, which has left, isn't waited for once the old leader's can't return either.
#[tokio::test(start_paused = true)]
async fn departed_log_is_waited_for_only_with_another() {
    let since = Instant::now();
    tokio::time::advance(Duration::from_secs(11)).await;
    let gone = || MemberState::Gone(Departure::at(since));
    let members = [
        surveyed("a", gone(), down()),
        surveyed("b", MemberState::Ready, paused(5)),
        surveyed("c", MemberState::Ready, paused(7)),
        surveyed("d", gone(), down()),
    ];
    assert_eq!(choose_from(&members, 1), Ok("c".to_owned()));
}

#[rstest]
#[case::the_others_have_as_much(7, Ok("c".to_owned()))]
#[case::the_leader_had_more(8, may_hold_more("d"))]
#[tokio::test(start_paused = true)]
async fn log_of_a_gone_member_counts_as_missing(
    #[case] known: u64,
    #[case] expected: Result<String, Obstacle>,
) {
    let since = Instant::now();
    tokio::time::advance(Duration::from_secs(11)).await;
    let members = [
        surveyed("a", MemberState::Ready, silent()),
        surveyed("b", MemberState::Ready, paused(5)),
        surveyed("c", MemberState::Ready, paused(7)),
        surveyed("d", MemberState::Gone(Departure::at(since)), down()),
    ];
    let known = Some(LogPosition::new(1, known));
    assert_eq!(choose_with_known_position(&members, 1, known), expected);
}

#[test]
fn server_at_the_old_leaders_address_counts_as_the_old_leader() {
    let mut renamed = surveyed("x", MemberState::Ready, demoted(9));
    let mut member = Member::clone(&renamed.member);
    member.address = address("a");
    renamed.member = Arc::new(member);
    let members = [
        renamed,
        surveyed("b", MemberState::Ready, paused(9)),
        surveyed("c", MemberState::Ready, silent()),
    ];
    assert_eq!(choose_from(&members, 1), Ok("b".to_owned()));
}

#[rstest]
#[case::no_reports(vec![], 1)]
#[case::newer_than_every_term(vec![report(Role::Primary, 5, 0), report(Role::Replica, 5, 0)], 2)]
#[case::fence_already_started(vec![report(Role::Primary, 5, 0), report(Role::Replica, 5, 4)], 4)]
fn fencing_term_is_accepted_by_every_reporting_member(
    #[case] reports: Vec<Response>,
    #[case] term: u64,
) {
    let members: Vec<SurveyedMember> = reports
        .into_iter()
        .map(|response| surveyed("b", MemberState::Ready, response))
        .collect();
    assert_eq!(fencing_term(&members), term);
}

/// A member that reports the greatest term there is doesn't end the change of leader.
#[test]
fn fencing_term_after_the_greatest_term_does_not_overflow() {
    let newest = Response::Report(MemberReport {
        role: Role::Replica,
        term: u64::MAX,
        received: LogPosition::new(u64::MAX, u64::MAX),
        paused_for: 0,
    });
    let members = [surveyed("b", MemberState::Ready, newest)];
    assert_eq!(fencing_term(&members), u64::MAX);
}

fn incarnation(name: &str, response: Response) -> SurveyedMember {
    let mut known = surveyed(name, MemberState::Ready, response);
    let member = Arc::make_mut(&mut known.member);
    member.address = address(&name[..1]);
    known
}

fn ended_incarnation(name: &str) -> SurveyedMember {
    ended_incarnation_at(name, Instant::now())
}

fn ended_incarnation_at(name: &str, ended_at: Instant) -> SurveyedMember {
    let mut known = incarnation(name, Response::RestartedEmpty);
    let member = Arc::make_mut(&mut known.member);
    member.state = MemberState::Gone(Departure::at(ended_at));
    known.ended_at = end_of(member);
    known
}

/// The old leader is `a`. A server that has restarted has lost its log, and its directory entry
/// may not show the restart yet.
#[rstest]
#[case::the_leader_is_empty([demoted(0), paused(5), paused(7)], None, Ok("c".to_owned()))]
#[case::the_leader_is_empty_and_one_replica_is_silent([demoted(0), paused(5), silent()], None, not_fenced("c"))]
#[case::the_leader_is_empty_and_one_replica_is_down([demoted(0), paused(5), down()], None, may_hold_more("c"))]
#[case::the_leader_has_less_than_a_replica([demoted(4), paused(5), silent()], None, not_fenced("c"))]
#[case::the_leader_has_less_than_is_known([demoted(6), paused(5), silent()], Some(8), not_fenced("c"))]
#[case::all_logs_are_empty([demoted(0), paused(0), paused(0)], None, Ok("c".to_owned()))]
fn log_that_cannot_be_the_old_leaders_proves_nothing(
    #[case] responses: [Response; 3],
    #[case] known: Option<u64>,
    #[case] expected: Result<String, Obstacle>,
) {
    let names = ["a", "b", "c"].iter().zip(responses);
    let members: Vec<SurveyedMember> = names
        .map(|(name, response)| surveyed(name, MemberState::Ready, response))
        .collect();
    let known = known.map(|number| LogPosition::new(1, number));
    assert_eq!(choose_with_known_position(&members, 1, known), expected);
}

/// The old leader is `a`, and a later incarnation of its server answers.
#[rstest]
#[case::empty(demoted(0))]
#[case::received_from_another_leader(demoted(9))]
fn later_incarnation_of_the_old_leader_does_not_have_its_log(#[case] response: Response) {
    let members = [
        ended_incarnation("a"),
        incarnation("a@2", response),
        surveyed("b", MemberState::Ready, paused(5)),
        surveyed("c", MemberState::Ready, silent()),
    ];
    assert_eq!(choose_from(&members, 1), not_fenced("c"));
}

/// The old leader is `a`. The incarnation of `c` that had received its commits has ended.
#[rstest]
#[case::the_other_lacks_some([silent(), paused(5)], Some(7), may_hold_more("c"))]
#[case::the_other_has_all([silent(), paused(7)], Some(7), Ok("b".to_owned()))]
#[case::the_leader_has_less([demoted(5), paused(5)], Some(7), may_hold_more("c"))]
fn commits_of_an_ended_incarnation_must_be_held_by_other_members(
    #[case] responses: [Response; 2],
    #[case] known: Option<u64>,
    #[case] expected: Result<String, Obstacle>,
) {
    let [leader, other] = responses;
    let members = [
        surveyed("a", MemberState::Ready, leader),
        surveyed("b", MemberState::Ready, other),
        ended_incarnation("c"),
        incarnation("c@2", paused(1)),
    ];
    let known = known.map(|number| LogPosition::new(1, number));
    assert_eq!(choose_with_known_position(&members, 1, known), expected);
}

/// The old leader is `a`, and one of its two replicas is unknown.
#[rstest]
#[case::the_leader_is_silent(silent(), Err(Obstacle::TooFewKnown))]
#[case::the_leader_is_down(down(), Err(Obstacle::TooFewKnown))]
#[case::the_other_has_the_leaders_log(demoted(5), Ok("b".to_owned()))]
#[case::the_leader_has_more(demoted(9), Ok("a".to_owned()))]
fn unknown_replica_may_hold_more_commits(
    #[case] leader: Response,
    #[case] expected: Result<String, Obstacle>,
) {
    let members = [
        surveyed("a", MemberState::Ready, leader),
        surveyed("b", MemberState::Ready, paused(5)),
    ];
    assert_eq!(choose_from(&members, 1), expected);
}

/// `a` led, and an attempt to promote `b`, which had received 5, was given up. Whether `b` led since
/// then is unknown.
#[rstest]
#[case::target_still_holds_every_commit([paused(5), paused(5), paused(3)], None, Ok("b".to_owned()))]
#[case::leader_returned_with_unacknowledged_commits([paused(9), paused(5), paused(3)], Some(9), Ok("b".to_owned()))]
#[case::leader_is_demoted_but_not_paused([demoted(5), paused(5), silent()], None, not_fenced("c"))]
#[case::one_replica_is_silent([paused(5), paused(5), silent()], None, Ok("b".to_owned()))]
#[case::leader_is_silent([silent(), paused(5), paused(3)], None, Ok("b".to_owned()))]
#[case::target_is_silent([paused(5), silent(), paused(3)], None, Ok("a".to_owned()))]
#[case::target_is_silent_and_another_replica_has_as_much([paused(5), silent(), paused(5)], None, Ok("c".to_owned()))]
#[case::target_is_primary([paused(5), report(Role::Primary, 6, 0), silent()], None, not_fenced("b"))]
#[case::target_has_lost_its_log([paused(5), paused(0), silent()], None, not_fenced("c"))]
#[case::leader_and_target_are_silent([silent(), silent(), paused(5)], None, not_fenced("b"))]
fn former_target_may_have_led(
    #[case] responses: [Response; 3],
    #[case] known: Option<u64>,
    #[case] expected: Result<String, Obstacle>,
) {
    let names = ["a", "b", "c"].iter().zip(responses);
    let members: Vec<SurveyedMember> = names
        .map(|(name, response)| surveyed(name, MemberState::Ready, response))
        .collect();
    let target = FormerTarget {
        id: "b".into(),
        address: Some(address("b")),
        received: Some(LogPosition::new(1, 5)),
    };
    let known = known.map(|number| LogPosition::new(1, number));
    assert_eq!(
        choose_after_attempts(&members, &[target], 1, known),
        expected
    );
}

/// More replicas than one must receive a commit, so fewer members have to report.
#[rstest]
#[case::two_are_missing([silent(), paused(5), paused(7), silent(), paused(6)], Ok("c".to_owned()))]
#[case::three_are_missing([silent(), paused(5), silent(), silent(), paused(6)], not_fenced("c"))]
#[case::shorter_logs_are_no_obstacle([demoted(9), paused(5), paused(7), silent(), paused(8)], Ok("e".to_owned()))]
fn quorum_depends_on_the_number_of_synchronous_replicas(
    #[case] responses: [Response; 5],
    #[case] expected: Result<String, Obstacle>,
) {
    let names = ["a", "b", "c", "d", "e"].iter().zip(responses);
    let members: Vec<SurveyedMember> = names
        .map(|(name, response)| surveyed(name, MemberState::Ready, response))
        .collect();
    assert_eq!(choose_from(&members, 2), expected);
}

/// A promotion has rolled back the unacknowledged end of a log. All members report, so nothing is
/// missing, although the old leader and a former target once had more.
#[test]
fn logs_that_a_later_term_has_shortened_are_complete() {
    let follows_term_2 = || {
        Response::Report(MemberReport {
            role: Role::Replica,
            term: 2,
            received: LogPosition::new(1, 5),
            paused_for: 3,
        })
    };
    let members = ["a", "b", "c"].map(|name| surveyed(name, MemberState::Ready, follows_term_2()));
    let target = FormerTarget {
        id: "b".into(),
        address: Some(address("b")),
        received: Some(LogPosition::new(1, 7)),
    };
    let known = Some(LogPosition::new(1, 8));
    assert_eq!(
        choose_after_attempts(&members, &[target], 1, known),
        Ok("b".to_owned())
    );
}

/// Two attempts were given up, and an order of the latest is the most likely to be pending.
#[rstest]
#[case::first_b_then_c(["b", "c"], "c")]
#[case::first_c_then_b(["c", "b"], "b")]
fn latest_former_target_is_chosen_again(#[case] targets: [&str; 2], #[case] expected: &str) {
    let members = ["a", "b", "c"].map(|name| surveyed(name, MemberState::Ready, paused(5)));
    let targets = targets.map(|name| FormerTarget {
        id: name.into(),
        address: Some(address(name)),
        received: Some(LogPosition::new(1, 5)),
    });
    let chosen = choose_after_attempts(&members, &targets, 1, None);
    assert_eq!(chosen, Ok(expected.to_owned()));
}

/// The old leader `a` is silent, and the incarnation of `c` that may have received its commits has
/// ended. Only a position learned after that end shows what was acknowledged before.
#[rstest]
#[case::nothing_is_known(None, None, may_hold_more("c"))]
#[case::known_before_the_end(Some(7), Some(-10), may_hold_more("c"))]
#[case::known_after_the_end(Some(7), Some(10), Ok("b".to_owned()))]
#[case::known_after_the_end_and_not_reached(Some(8), Some(10), may_hold_more("c"))]
#[tokio::test(start_paused = true)]
async fn lost_log_counts_as_missing_until_its_commits_are_known_to_be_elsewhere(
    #[case] position: Option<u64>,
    #[case] learned_after_ms: Option<i64>,
    #[case] expected: Result<String, Obstacle>,
) {
    let ended_at = Instant::now() + Duration::from_secs(1);
    let members = [
        surveyed("a", MemberState::Ready, silent()),
        surveyed("b", MemberState::Ready, paused(7)),
        ended_incarnation_at("c", ended_at),
        incarnation("c@2", paused(1)),
    ];
    let after_ms = learned_after_ms.unwrap_or(0);
    let offset = Duration::from_millis(after_ms.unsigned_abs());
    let learned_at = match after_ms < 0 {
        true => ended_at - offset,
        false => ended_at + offset,
    };
    let samples = samples_at(
        learned_at,
        position.map(|number| LogPosition::new(1, number)),
    );
    let survey = FenceSurvey {
        samples: &samples,
        ..survey_of(&members)
    };
    assert_eq!(chosen(&survey), expected);
}

/// `c` reports an empty log, and the old leader `a` is silent. If `c` has restarted, its entry may
/// not show that yet.
#[rstest]
#[case::other_log_is_not_empty(paused(5), None, may_hold_more("c"))]
#[case::all_logs_are_empty(paused(0), None, Ok("c".to_owned()))]
#[case::all_are_empty_and_a_commit_is_known(paused(0), Some(1), may_hold_more("b"))]
fn empty_log_may_have_been_lost(
    #[case] other: Response,
    #[case] known: Option<u64>,
    #[case] expected: Result<String, Obstacle>,
) {
    let members = [
        surveyed("a", MemberState::Ready, silent()),
        surveyed("b", MemberState::Ready, other),
        surveyed("c", MemberState::Ready, paused(0)),
    ];
    let survey = FenceSurvey {
        known: known.map(|number| LogPosition::new(1, number)),
        ..survey_of(&members)
    };
    assert_eq!(chosen(&survey), expected);
}

/// An empty log isn't waited for once no other log can return.
#[rstest]
#[case::leader_may_return(surveyed("a", MemberState::Ready, down()), may_hold_more("c"))]
#[case::leader_has_left(ended_incarnation("a"), Ok("b".to_owned()))]
fn empty_log_is_waited_for_only_with_another(
    #[case] leader: SurveyedMember,
    #[case] expected: Result<String, Obstacle>,
) {
    let members = [
        leader,
        surveyed("b", MemberState::Ready, paused(5)),
        surveyed("c", MemberState::Ready, paused(0)),
    ];
    assert_eq!(choose_from(&members, 1), expected);
}

/// A log that its server has lost is not counted as a copy, so the leader's longer log is required.
#[test]
fn empty_log_is_no_evidence_against_the_leaders_log() {
    let members = [
        surveyed("a", MemberState::Ready, demoted(7)),
        surveyed("b", MemberState::Ready, paused(5)),
        surveyed("c", MemberState::Ready, paused(0)),
    ];
    assert_eq!(choose_from(&members, 1), Ok("a".to_owned()));
}

/// The logs of the old leader `a` and of `c` are lost in restarts. They don't return, so the longest
/// log that is left is promoted at once.
#[rstest]
#[case::leader_has_restarted(vec![ended_incarnation("a"), incarnation("a@2", paused(0))], Ok("b".to_owned()))]
#[case::leader_may_return(vec![surveyed("a", MemberState::Ready, down())], may_hold_more("c"))]
fn lost_logs_are_not_waited_for(
    #[case] leader: Vec<SurveyedMember>,
    #[case] expected: Result<String, Obstacle>,
) {
    let others = [
        surveyed("b", MemberState::Ready, paused(7)),
        ended_incarnation("c"),
        incarnation("c@2", paused(0)),
    ];
    let members: Vec<SurveyedMember> = leader.into_iter().chain(others).collect();
    assert_eq!(choose_from(&members, 1), expected);
}

/// The old leader `a` has started again, and `c` has lost its log in a restart. Whether the old
/// leader has kept its log or lost it, it is asked before a shorter log is promoted.
#[rstest]
#[case::it_has_kept_its_log(paused(7), Ok("a@2".to_owned()))]
#[case::it_has_received_a_part(paused(3), Ok("b".to_owned()))]
#[case::it_is_empty(paused(0), Ok("b".to_owned()))]
#[case::it_is_not_fenced_yet(demoted(7), may_hold_more("c"))]
#[case::it_is_silent(silent(), may_hold_more("c"))]
fn log_of_an_old_leader_that_has_started_again_counts(
    #[case] returned: Response,
    #[case] expected: Result<String, Obstacle>,
) {
    let members = [
        ended_incarnation("a"),
        incarnation("a@2", returned),
        surveyed("b", MemberState::Ready, paused(5)),
        ended_incarnation("c"),
        incarnation("c@2", paused(0)),
    ];
    let target = FormerTarget {
        id: "a".into(),
        address: Some(address("a")),
        received: Some(LogPosition::new(1, 7)),
    };
    assert_eq!(
        choose_after_attempts(&members, &[target], 1, None),
        expected
    );
}

/// `c` has lost its log. A position learned after that is beyond every log because a later term has
/// shortened them, so it is not waited for.
#[test]
fn position_that_a_later_term_has_dropped_is_no_obstacle() {
    let follows_term_2 = Response::Report(MemberReport {
        role: Role::Replica,
        term: 2,
        received: LogPosition::new(1, 5),
        paused_for: 3,
    });
    let members = [
        surveyed("a", MemberState::Ready, silent()),
        surveyed("b", MemberState::Ready, follows_term_2),
        ended_incarnation("c"),
        incarnation("c@2", paused(1)),
    ];
    let samples = samples_at(Instant::now(), Some(LogPosition::new(1, 7)));
    let survey = FenceSurvey {
        samples: &samples,
        ..survey_of(&members)
    };
    assert_eq!(chosen(&survey), Ok("b".to_owned()));
}

/// The old leader `a` has started again with a longer log. One of the others holds each acknowledged
/// commit, since no other log is missing, so its log isn't required: it may be about to leave.
#[rstest]
#[case::stays(MemberState::Ready)]
#[case::leaves(MemberState::Leaving(Departure::at(Instant::now())))]
#[tokio::test(start_paused = true)]
async fn returned_leader_is_not_needed_if_no_other_log_is_missing(#[case] state: MemberState) {
    let mut returned = incarnation("a@2", paused(7));
    Arc::make_mut(&mut returned.member).state = state;
    let members = [
        ended_incarnation("a"),
        returned,
        surveyed("b", MemberState::Ready, paused(5)),
        surveyed("c", MemberState::Ready, paused(4)),
    ];
    assert_eq!(choose_from(&members, 1), Ok("b".to_owned()));
}

/// No other member has all that the leaving leader `a` may have had acknowledged through `c`, which is
/// down. Without a leader, the others could not receive it before `a` has left.
#[test]
fn leaving_leader_leads_again_if_no_other_log_suffices() {
    let leaving = MemberState::Leaving(Departure::at(Instant::now()));
    let members = [
        surveyed("a", leaving, demoted(5)),
        surveyed("b", MemberState::Ready, paused(4)),
        surveyed("c", MemberState::Ready, down()),
    ];
    assert_eq!(choose_from(&members, 1), Ok("a".to_owned()));
}

/// A commit may have been acknowledged through a server that isn't listed yet, so a log that the
/// old leader's exceeds isn't chosen before such a server has had the time to be listed.
#[rstest]
#[case::leader_has_more([demoted(5), paused(4), paused(4)], Err(Obstacle::MayBeUnlisted))]
#[case::replica_has_as_much([demoted(5), paused(5), paused(4)], Ok("b".to_owned()))]
#[case::leader_is_unknown([silent(), paused(5), paused(4)], Ok("b".to_owned()))]
fn longer_log_of_the_old_leader_is_waited_for_until_entries_are_settled(
    #[case] responses: [Response; 3],
    #[case] expected: Result<String, Obstacle>,
) {
    let names = ["a", "b", "c"].iter();
    let members = names.zip(responses);
    let members = members.map(|(name, response)| surveyed(name, MemberState::Ready, response));
    let members: Vec<SurveyedMember> = members.collect();
    let unsettled = FenceSurvey {
        are_entries_settled: false,
        ..survey_of(&members)
    };
    assert_eq!(chosen(&unsettled), expected);
}
