//! Scenario tests of the engine in a simulated cluster under a fake clock.

mod combined_faults;
mod dependencies;
mod failover;
mod failover_at_scale;
mod gang_starts;
mod job_lifecycle;
mod large_fleet;
mod large_gangs;
mod leadership;
mod machine_lists;
mod machines;
mod message_reordering;
mod partitions;
mod preemption;
mod quarantine;
mod replay;
mod simulated_cluster;
mod slow_links;
mod starvation;
mod stored_records;
mod support;
