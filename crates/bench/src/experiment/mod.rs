//! Experiments on a running topology.

pub mod added_latency;
pub mod data_path;
pub mod failover;
pub mod faults;
pub mod final_states;
pub mod mixed_load;
pub mod process_usage;
pub mod replica_reads;
