//! What the engine needs of the outside.

mod back_end;
mod peers;
mod promoter;
mod record_store;

pub use back_end::{
    Admission, Answer, BackEnd, BackEndConnection, BackEndConnectionError, Command, ConnectError,
    Control, MemberReport, Refusal, RefusalKind,
};
pub use peers::{
    CoveringSnapshot, DeclaredConfiguration, DeclaredDeparture, DeclaredDirectory, DeclaredExtent,
    DeclaredMember, DeclaredState, DeclaredVersions, GroupSnapshot, LeaderSnapshot, PeerError,
    PeerLink, PeerNetwork, TermSnapshot,
};
pub use promoter::{PromoteError, Promoter, PromotionOrder};
pub use record_store::{
    MAX_PUTS_PER_CALL, PutOutcome, Record, RecordChanges, RecordPut, RecordStore, RecordStoreError,
};
