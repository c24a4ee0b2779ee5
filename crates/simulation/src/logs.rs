//! What simulated processes log, with simulated time and the name of each.
use crate::clock::Simulation;
use std::cell::RefCell;

thread_local! {
    static SIMULATION: RefCell<Option<Simulation>> = const { RefCell::new(None) };
}

/// Lines on this thread get the time of a simulation.
pub(crate) fn name_time_by(simulation: &Simulation) {
    SIMULATION.with(|current| *current.borrow_mut() = Some(simulation.clone()));
}

struct Printer;

impl log::Log for Printer {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        SIMULATION.with(|simulation| {
            if let Some(simulation) = &*simulation.borrow() {
                let (ms, name) = (simulation.ms(), simulation.current_name());
                println!("{ms:>8} {name:<4} [{}] {}", record.level(), record.args());
            }
        });
    }

    fn flush(&self) {}
}

/// Prints what simulated processes log from now on.
pub fn print() {
    if log::set_logger(&Printer).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}
