//! Prints the results of each phase.

use crate::fleet::FleetSize;
use crate::process::Memory;
use crate::profile::Profile;

/// Prints the name of the phase and the size of the load.
pub(crate) fn print_phase(phase: &str, heartbeats: u64, size: &FleetSize) {
    let (machines, tasks) = (size.machines, size.running_tasks);
    println!(
        "== {phase}: {heartbeats} heartbeats answered, {machines} machines, {tasks} tasks run"
    );
}

/// Prints the memory of the measured node.
pub(crate) fn print_memory(memory: &Memory) {
    let (now, max) = (memory.now_mb, memory.max_mb);
    println!("   memory {now:.2} MB, at most {max:.2} MB");
}

/// Prints instructions, allocations and the functions with the most instructions.
pub(crate) fn print_profile(profile: &Profile, heartbeats: u64, functions: usize) {
    let total = profile.total_instructions();
    println!(
        "   {:.1} million instructions, {:.1} thousand a report",
        total as f64 / 1e6,
        total as f64 / 1e3 / heartbeats.max(1) as f64
    );
    let allocations = profile.call_count(&["malloc", "calloc", "realloc"]);
    println!("   {allocations} allocations");
    print_functions(profile, functions);
}

fn print_functions(profile: &Profile, functions: usize) {
    let total = profile.total_instructions().max(1);
    let print = |name: &str, instructions: u64, calls: u64| {
        let share = instructions as f64 * 100.0 / total as f64;
        println!("   {share:5.1}% {calls:9} calls {name}");
    };
    let by_inclusive_cost = profile.by_inclusive_cost("umbervale::");
    for (name, cost) in by_inclusive_cost.into_iter().take(functions) {
        print(name, cost.inclusive, cost.calls);
    }
    let mut by_exclusive_cost: Vec<_> = profile.functions.iter().collect();
    by_exclusive_cost.sort_by_key(|(_, cost)| std::cmp::Reverse(cost.exclusive));
    println!("   own:");
    for (name, cost) in by_exclusive_cost.into_iter().take(functions) {
        print(name, cost.exclusive, cost.calls);
    }
}
