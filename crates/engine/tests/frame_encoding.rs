//! Messages between processes decode to what was encoded, whatever their fields contain.
//!
//! Encoded messages have no field names, so a type that leaves out a field fails here, unless it is
//! the last one of its type, after which nothing is shifted.

use bytes::Bytes;
use proptest::collection::{btree_map, btree_set, hash_map, vec};
use proptest::option;
use proptest::prelude::*;
use proptest::strategy::Union;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::identity::{Incarnation, NodeId};
use stilequay_coordination::lease::{FencingNumber, LeaseRecord};
use stilequay_engine::configuration::{
    Configuration, ConfigurationChanges, Consistency, GroupSettings, Route, SlowStart,
};
use stilequay_engine::directory::Role;
use stilequay_engine::evacuation::Evacuations;
use stilequay_engine::link::frame::{
    FeedVersions, FollowedVersions, FromHome, HomeCommand, HomeOutcome, NotSent, RequiredFreshness,
    RunRequest, StoreUpdates, ToHome, decode, encode,
};
use stilequay_engine::peers::message::{Query, QueryAnswer};
use stilequay_engine::ports::{
    Answer, CoveringSnapshot, DeclaredConfiguration, DeclaredDeparture, DeclaredDirectory,
    DeclaredExtent, DeclaredMember, DeclaredState, DeclaredVersions, GroupSnapshot, LeaderSnapshot,
    Record, Refusal, RefusalKind, TermSnapshot,
};
use stilequay_engine::position::LogPosition;
use stilequay_engine::rate::counter::PermitReply;
use stilequay_engine::residency::Residency;
use stilequay_engine::statement::{Access, PreparedStatement, TransactionState};
use stilequay_engine::tenant::{Credential, RateLimit, Tenant};

/// Number of messages generated for each test.
const CASES: u32 = 2_000;
/// Maximum number of elements of a collection, exclusive.
const MAX_ELEMENTS: usize = 3;

/// Any value of an enum, from one strategy per variant. Doesn't compile unless the patterns cover
/// all variants.
macro_rules! any_variant {
    ($enum:ty { $($variant:pat => $strategy:expr),+ $(,)? }) => {{
        fn is_covered(value: &$enum) {
            match value {
                $($variant => {})+
            }
        }
        let variants = vec![$(
            $strategy
                .prop_map(|value| {
                    assert!(matches!(value, $variant), "a value of another variant");
                    is_covered(&value);
                    value
                })
                .boxed()
        ),+];
        Union::new(variants).boxed()
    }};
}

fn name() -> BoxedStrategy<Arc<str>> {
    "[a-z@/é-]{0,9}".prop_map(Arc::from).boxed()
}

fn bytes() -> BoxedStrategy<Bytes> {
    vec(any::<u8>(), 0..40).prop_map(Bytes::from).boxed()
}

/// Scopes and flow labels of IPv6 addresses are not sent.
fn address() -> BoxedStrategy<SocketAddr> {
    any::<(IpAddr, u16)>().prop_map(SocketAddr::from).boxed()
}

fn number() -> BoxedStrategy<f64> {
    use proptest::num::f64::{NEGATIVE, NORMAL, POSITIVE, SUBNORMAL, ZERO};
    (POSITIVE | NEGATIVE | NORMAL | SUBNORMAL | ZERO).boxed()
}

fn position() -> BoxedStrategy<LogPosition> {
    any::<(u64, u64)>()
        .prop_map(|(term, number)| LogPosition { term, number })
        .boxed()
}

prop_compose! {
    fn covering()(position in position(), age_ms in any::<u64>()) -> CoveringSnapshot {
        CoveringSnapshot { position, age_ms }
    }
}

prop_compose! {
    fn leader()(
        member in name(),
        confirmed in any::<bool>(),
        evidence_age_ms in option::of(any::<u64>()),
    ) -> LeaderSnapshot {
        LeaderSnapshot { member, confirmed, evidence_age_ms }
    }
}

prop_compose! {
    fn term()(value in bytes(), version in any::<u64>()) -> TermSnapshot {
        TermSnapshot { value, version }
    }
}

prop_compose! {
    fn group_snapshot()(
        group in name(),
        epoch in any::<u64>(),
        leader in option::of(leader()),
        covering in vec(covering(), 0..MAX_ELEMENTS),
        term in option::of(term()),
    ) -> GroupSnapshot {
        GroupSnapshot { group, epoch, leader, covering, term }
    }
}

prop_compose! {
    fn declared_versions()(
        configuration in any::<u64>(),
        directory in any::<u64>(),
        evacuations in any::<u64>(),
    ) -> DeclaredVersions {
        DeclaredVersions { configuration, directory, evacuations }
    }
}

fn residency() -> BoxedStrategy<Residency> {
    vec(name(), 0..MAX_ELEMENTS)
        .prop_map(Residency::in_regions)
        .boxed()
}

fn consistency() -> BoxedStrategy<Consistency> {
    any_variant!(Consistency {
        Consistency::Leader => Just(Consistency::Leader),
        Consistency::BoundedStaleness => Just(Consistency::BoundedStaleness),
        Consistency::ReadYourWrites => Just(Consistency::ReadYourWrites),
    })
}

prop_compose! {
    fn route()(
        group in name(),
        consistency in consistency(),
        max_staleness in any::<Duration>(),
        timeout in any::<Duration>(),
        objective in any::<Duration>(),
        priority in any::<u32>(),
        is_public in any::<bool>(),
        residency in residency(),
    ) -> Arc<Route> {
        Arc::new(Route {
            group,
            consistency,
            max_staleness,
            timeout,
            objective,
            priority,
            is_public,
            residency,
        })
    }
}

prop_compose! {
    fn slow_start()(duration in any::<Duration>(), per_second in number()) -> SlowStart {
        SlowStart { duration, per_second }
    }
}

prop_compose! {
    fn group_settings()(
        member_connections in any::<usize>(),
        sync_replicas in any::<usize>(),
        slow_start in option::of(slow_start()),
    ) -> GroupSettings {
        GroupSettings { member_connections, sync_replicas, slow_start }
    }
}

prop_compose! {
    fn rate_limit()(per_second in number(), burst in number()) -> RateLimit {
        RateLimit { per_second, burst }
    }
}

prop_compose! {
    fn tenant()(
        name in name(),
        rate in option::of(rate_limit()),
        residency in residency(),
    ) -> Arc<Tenant> {
        Arc::new(Tenant { name, rate, residency })
    }
}

fn credential() -> BoxedStrategy<Credential> {
    let key = any::<[u8; 8]>();
    key.prop_map(|key| Credential::from_key(&key)).boxed()
}

prop_compose! {
    fn configuration()(
        version in any::<u64>(),
        routes in hash_map(name(), route(), 0..MAX_ELEMENTS),
        groups in hash_map(name(), group_settings(), 0..MAX_ELEMENTS),
        tenants in hash_map(name(), tenant(), 0..MAX_ELEMENTS),
        credentials in hash_map(credential(), name(), 0..MAX_ELEMENTS),
        transaction_idle in option::of(any::<Duration>()),
    ) -> Configuration {
        Configuration { version, routes, groups, tenants, credentials, transaction_idle }
    }
}

prop_compose! {
    fn configuration_changes()(
        added in configuration(),
        from in any::<u64>(),
        removed_routes in vec(name(), 0..MAX_ELEMENTS),
        removed_groups in vec(name(), 0..MAX_ELEMENTS),
        removed_tenants in vec(name(), 0..MAX_ELEMENTS),
        removed_credentials in vec(credential(), 0..MAX_ELEMENTS),
    ) -> ConfigurationChanges {
        ConfigurationChanges {
            from,
            version: added.version,
            routes: added.routes,
            removed_routes,
            groups: added.groups,
            removed_groups,
            tenants: added.tenants,
            removed_tenants,
            credentials: added.credentials,
            removed_credentials,
            transaction_idle: added.transaction_idle,
        }
    }
}

fn declared_configuration() -> BoxedStrategy<DeclaredConfiguration> {
    any_variant!(DeclaredConfiguration {
        DeclaredConfiguration::Whole(_) =>
            configuration().prop_map(DeclaredConfiguration::Whole),
        DeclaredConfiguration::Changes(_) =>
            configuration_changes().prop_map(DeclaredConfiguration::Changes),
    })
}

fn role() -> BoxedStrategy<Role> {
    any_variant!(Role {
        Role::Primary => Just(Role::Primary),
        Role::Replica => Just(Role::Replica),
    })
}

prop_compose! {
    fn departure()(
        gone in any::<bool>(),
        lapsed_left_ms in option::of(any::<u64>()),
        learned_age_ms in any::<u64>(),
        earliest_age_ms in option::of(any::<u64>()),
    ) -> DeclaredDeparture {
        DeclaredDeparture { gone, lapsed_left_ms, learned_age_ms, earliest_age_ms }
    }
}

prop_compose! {
    fn member()(
        id in name(),
        group in name(),
        address in address(),
        zone in name(),
        role in role(),
        slots in any::<usize>(),
        cold_left_ms in option::of(any::<u64>()),
        departure in option::of(departure()),
        changed in any::<u64>(),
    ) -> DeclaredMember {
        DeclaredMember { id, group, address, zone, role, slots, cold_left_ms, departure, changed }
    }
}

fn extent() -> BoxedStrategy<DeclaredExtent> {
    any_variant!(DeclaredExtent {
        DeclaredExtent::Whole => Just(DeclaredExtent::Whole),
        DeclaredExtent::Changes => Just(DeclaredExtent::Changes),
    })
}

prop_compose! {
    fn directory()(
        version in any::<u64>(),
        extent in extent(),
        members in vec(member(), 0..MAX_ELEMENTS),
    ) -> DeclaredDirectory {
        DeclaredDirectory { version, extent, members }
    }
}

prop_compose! {
    fn evacuations()(
        version in any::<u64>(),
        zones in btree_set(name(), 0..MAX_ELEMENTS),
    ) -> Evacuations {
        Evacuations { version, zones }
    }
}

prop_compose! {
    fn declared_state()(
        configuration in option::of(declared_configuration()),
        directory in option::of(directory()),
        evacuations in option::of(evacuations()),
        complete_after_ms in option::of(any::<i64>()),
    ) -> DeclaredState {
        DeclaredState { configuration, directory, evacuations, complete_after_ms }
    }
}

fn access() -> BoxedStrategy<Access> {
    any_variant!(Access {
        Access::Read => Just(Access::Read),
        Access::Write => Just(Access::Write),
    })
}

prop_compose! {
    fn prepared()(access in access(), shape in bytes()) -> PreparedStatement {
        PreparedStatement { access, shape }
    }
}

prop_compose! {
    fn begin()(
        read_only in any::<bool>(),
        after in option::of(position()),
    ) -> HomeCommand {
        HomeCommand::Begin { read_only, after }
    }
}

prop_compose! {
    fn run_text()(
        id in name(),
        text in bytes(),
        access in access(),
        after in option::of(position()),
    ) -> HomeCommand {
        HomeCommand::Run { id, text, access, after }
    }
}

prop_compose! {
    fn execute()(
        id in name(),
        prepared in prepared(),
        arguments in bytes(),
        after in option::of(position()),
    ) -> HomeCommand {
        HomeCommand::Execute { id, prepared, arguments, after }
    }
}

fn command() -> BoxedStrategy<HomeCommand> {
    any_variant!(HomeCommand {
        HomeCommand::Begin { .. } => begin(),
        HomeCommand::Commit { .. } => name().prop_map(|id| HomeCommand::Commit { id }),
        HomeCommand::Rollback => Just(HomeCommand::Rollback),
        HomeCommand::Run { .. } => run_text(),
        HomeCommand::Execute { .. } => execute(),
    })
}

prop_compose! {
    fn run_request()(
        (unit, exchange) in any::<(u64, u64)>(),
        member in name(),
        database in name(),
        tenant in option::of(name()),
        rank in any::<u32>(),
        patience in any::<Duration>(),
        wait in any::<Duration>(),
        values in btree_map(bytes(), bytes(), 0..MAX_ELEMENTS),
        command in command(),
    ) -> RunRequest {
        RunRequest {
            unit,
            exchange,
            member,
            database,
            tenant,
            rank,
            patience,
            wait,
            values,
            command,
        }
    }
}

fn freshness() -> BoxedStrategy<RequiredFreshness> {
    any_variant!(RequiredFreshness {
        RequiredFreshness::Evidence => Just(RequiredFreshness::Evidence),
        RequiredFreshness::StoreEvidence => Just(RequiredFreshness::StoreEvidence),
        RequiredFreshness::Position => Just(RequiredFreshness::Position),
    })
}

prop_compose! {
    fn ask()(exchange in any::<u64>(), group in name(), wanted in freshness()) -> ToHome {
        ToHome::Ask { exchange, group, wanted }
    }
}

prop_compose! {
    fn follow()(
        exchange in any::<u64>(),
        declared in declared_versions(),
        records in any::<u64>(),
        wait in any::<Duration>(),
    ) -> ToHome {
        let known = FollowedVersions { declared, records };
        ToHome::Follow { exchange, known, wait }
    }
}

prop_compose! {
    fn draw()(
        exchange in any::<u64>(),
        shard in any::<usize>(),
        tenant in name(),
        takes in any::<bool>(),
    ) -> ToHome {
        ToHome::Draw { exchange, shard, tenant, takes }
    }
}

prop_compose! {
    fn lease_record()(
        holder in "[a-z]{0,12}",
        incarnation in any::<u64>(),
        fencing in any::<u64>(),
        (renewal, write_id) in any::<(u64, u64)>(),
        (duration, held) in any::<(Duration, Duration)>(),
        (released, taken_early) in any::<(bool, bool)>(),
    ) -> Box<LeaseRecord> {
        Box::new(LeaseRecord {
            holder: NodeId::new(holder),
            incarnation: Incarnation(incarnation),
            fencing: FencingNumber(fencing),
            renewal,
            write_id,
            duration,
            released,
            held,
            taken_early,
        })
    }
}

prop_compose! {
    fn counter_lease()(shard in any::<usize>(), record in lease_record()) -> ToHome {
        ToHome::CounterLease { shard, record }
    }
}

fn to_home() -> BoxedStrategy<ToHome> {
    any_variant!(ToHome {
        ToHome::Run(_) => run_request().prop_map(|request| ToHome::Run(Box::new(request))),
        ToHome::Close(_) => any::<u64>().prop_map(ToHome::Close),
        ToHome::Ask { .. } => ask(),
        ToHome::Follow { .. } => follow(),
        ToHome::Draw { .. } => draw(),
        ToHome::Want(_) => any::<usize>().prop_map(ToHome::Want),
        ToHome::CounterLease { .. } => counter_lease(),
        ToHome::PromotionLease(_) => lease_record().prop_map(ToHome::PromotionLease),
        ToHome::AskNewestTerm { .. } =>
            any::<u64>().prop_map(|exchange| ToHome::AskNewestTerm { exchange }),
        ToHome::Ping => Just(ToHome::Ping),
    })
}

fn refusal_kind() -> BoxedStrategy<RefusalKind> {
    any_variant!(RefusalKind {
        RefusalKind::Busy => Just(RefusalKind::Busy),
        RefusalKind::UnknownPrepared => Just(RefusalKind::UnknownPrepared),
        RefusalKind::Lagging => Just(RefusalKind::Lagging),
        RefusalKind::NotLeader => Just(RefusalKind::NotLeader),
        RefusalKind::Shed(_) => any::<Duration>().prop_map(RefusalKind::Shed),
        RefusalKind::SlowStart(_) => any::<Duration>().prop_map(RefusalKind::SlowStart),
        RefusalKind::Unreachable => Just(RefusalKind::Unreachable),
        RefusalKind::Failed => Just(RefusalKind::Failed),
        RefusalKind::OutsideRegions => Just(RefusalKind::OutsideRegions),
    })
}

prop_compose! {
    fn refusal()(kind in refusal_kind(), code in bytes(), text in bytes()) -> Refusal {
        Refusal { kind, code, text }
    }
}

fn transaction_state() -> BoxedStrategy<TransactionState> {
    any_variant!(TransactionState {
        TransactionState::Idle => Just(TransactionState::Idle),
        TransactionState::Open => Just(TransactionState::Open),
        TransactionState::Failed => Just(TransactionState::Failed),
    })
}

prop_compose! {
    fn answer()(
        rows in vec(bytes(), 0..MAX_ELEMENTS),
        outcome in proptest::result::maybe_ok(bytes(), refusal()),
        state in transaction_state(),
        position in option::of(position()),
    ) -> Answer {
        Answer { rows, outcome, state, position }
    }
}

fn not_sent() -> BoxedStrategy<NotSent> {
    any_variant!(NotSent {
        NotSent::Exhausted => Just(NotSent::Exhausted),
        NotSent::Shed { .. } =>
            any::<Duration>().prop_map(|retry_after| NotSent::Shed { retry_after }),
        NotSent::SlowStart { .. } =>
            any::<Duration>().prop_map(|retry_after| NotSent::SlowStart { retry_after }),
        NotSent::Unreachable(_) => any::<String>().prop_map(NotSent::Unreachable),
        NotSent::UnknownMember => Just(NotSent::UnknownMember),
        NotSent::MayNotSend(_) => any::<String>().prop_map(NotSent::MayNotSend),
        NotSent::OutsideRegions => Just(NotSent::OutsideRegions),
    })
}

fn outcome() -> BoxedStrategy<HomeOutcome> {
    any_variant!(HomeOutcome {
        HomeOutcome::Answered(_) => answer().prop_map(HomeOutcome::Answered),
        HomeOutcome::NotSent(_) => not_sent().prop_map(HomeOutcome::NotSent),
        HomeOutcome::Lost(_) => any::<String>().prop_map(HomeOutcome::Lost),
    })
}

prop_compose! {
    fn record()(key in any::<String>(), value in bytes(), version in any::<u64>()) -> Record {
        Record { key, value, version }
    }
}

prop_compose! {
    fn feeds()(
        configuration in any::<u64>(),
        directory in any::<u64>(),
        records in any::<u64>(),
    ) -> FeedVersions {
        FeedVersions { configuration, directory, records }
    }
}

prop_compose! {
    fn updates()(
        age in option::of(any::<Duration>()),
        is_starting in any::<bool>(),
        feeds in feeds(),
        declared in declared_state(),
        records in vec(record(), 0..MAX_ELEMENTS),
        records_version in any::<u64>(),
        records_complete_after_ms in option::of(any::<i64>()),
    ) -> StoreUpdates {
        StoreUpdates {
            age,
            is_starting,
            feeds,
            declared,
            records,
            records_version,
            records_complete_after_ms,
        }
    }
}

fn permit_reply() -> BoxedStrategy<PermitReply> {
    any_variant!(PermitReply {
        PermitReply::Granted => Just(PermitReply::Granted),
        PermitReply::Exhausted(_) => any::<Duration>().prop_map(PermitReply::Exhausted),
        PermitReply::Counted => Just(PermitReply::Counted),
        PermitReply::NotCounted => Just(PermitReply::NotCounted),
    })
}

prop_compose! {
    fn ran()(exchange in any::<u64>(), outcome in outcome()) -> FromHome {
        FromHome::Ran { exchange, outcome }
    }
}

prop_compose! {
    fn beliefs()(
        exchange in any::<u64>(),
        beliefs in vec(group_snapshot(), 0..MAX_ELEMENTS),
    ) -> FromHome {
        FromHome::Beliefs { exchange, beliefs }
    }
}

prop_compose! {
    fn news()(exchange in any::<u64>(), updates in updates()) -> FromHome {
        FromHome::News { exchange, news: Box::new(updates) }
    }
}

prop_compose! {
    fn drawn()(exchange in any::<u64>(), drawn in permit_reply()) -> FromHome {
        FromHome::Drawn { exchange, drawn }
    }
}

prop_compose! {
    fn newest_term()(
        exchange in any::<u64>(),
        version in option::of(any::<u64>()),
    ) -> FromHome {
        FromHome::NewestTerm { exchange, version }
    }
}

prop_compose! {
    fn part()(
        exchange in any::<u64>(),
        bytes in bytes(),
        is_last in any::<bool>(),
    ) -> FromHome {
        FromHome::Part { exchange, bytes, is_last }
    }
}

fn from_home() -> BoxedStrategy<FromHome> {
    any_variant!(FromHome {
        FromHome::Ran { .. } => ran(),
        FromHome::Beliefs { .. } => beliefs(),
        FromHome::News { .. } => news(),
        FromHome::Drawn { .. } => drawn(),
        FromHome::NewestTerm { .. } => newest_term(),
        FromHome::Part { .. } => part(),
        FromHome::Pong => Just(FromHome::Pong),
        FromHome::Leaving => Just(FromHome::Leaving),
    })
}

fn query() -> BoxedStrategy<Query> {
    any_variant!(Query {
        Query::Beliefs(_) => vec(name(), 0..MAX_ELEMENTS).prop_map(Query::Beliefs),
        Query::Declared(_) => declared_versions().prop_map(Query::Declared),
        Query::Link => Just(Query::Link),
    })
}

fn query_answer() -> BoxedStrategy<QueryAnswer> {
    any_variant!(QueryAnswer {
        QueryAnswer::Beliefs(_) =>
            vec(group_snapshot(), 0..MAX_ELEMENTS).prop_map(QueryAnswer::Beliefs),
        QueryAnswer::Declared(_) =>
            declared_state().prop_map(|state| QueryAnswer::Declared(Box::new(state))),
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn frames_to_a_home_decode_to_what_was_sent(frame in to_home()) {
        prop_assert_eq!(decode::<ToHome>(&encode(&frame)), Some(frame));
    }

    #[test]
    fn frames_from_a_home_decode_to_what_was_sent(frame in from_home()) {
        prop_assert_eq!(decode::<FromHome>(&encode(&frame)), Some(frame));
    }

    #[test]
    fn queries_decode_to_what_was_sent(query in query()) {
        prop_assert_eq!(Query::decode(&query.encode()).ok(), Some(query));
    }

    #[test]
    fn query_answers_decode_to_what_was_sent(answer in query_answer()) {
        prop_assert_eq!(QueryAnswer::decode(&answer.encode()).ok(), Some(answer));
    }
}
