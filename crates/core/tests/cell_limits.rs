//! Cells divide the limit of a customer by what they ask for, and the limit holds while demand moves
//! between them.

mod limited;

use limited::SECOND;

/// Entries, and rates in tokens a second with the slack.
const LOADS: [(usize, f64, f64); 3] =
    [(103, 400_000.0, 0.0), (103, 400_000.0, 800_000.0), (950, 3_000_000.0, 8_000_000.0)];
/// Tokens of a request, in the mean.
const SIZE: f64 = 3_200.0;

// Guards against a customer of one cell that gets only the cell's part by size, 0.39 of the limit in a
// fleet of 103 entries and 0.04 in one of 950.
#[test]
fn one_cell_used() {
    for (size, rate, slack) in LOADS {
        let mut fleet = limited::Fleet::new(size, rate, slack, 21);
        fleet.move_demand(|number| number < limited::CELL);
        for entry in &mut fleet.entries[limited::CELL..] {
            entry.part = 0.0;
        }
        fleet.run(0.55 * rate, SIZE, 20 * SECOND);
        fleet.take_served();
        fleet.run(0.55 * rate, SIZE, 20 * SECOND);
        let served = fleet.take_served();
        assert!(served >= 0.9, "{size} entries, slack {slack}: {served:.3}");
    }
}

// Demand of many times the limit that moves from cell to cell, at once and again and again.
#[test]
fn moves_hold() {
    for (size, rate, slack) in LOADS {
        for loss in [0.0, 0.3] {
            let mut fleet = limited::Fleet::new(size, rate, slack, 22);
            fleet.loss = loss;
            for (step, seconds) in [12, 12, 8, 4, 4, 2, 2, 12, 12].into_iter().enumerate() {
                let cell = step % 3;
                fleet.move_demand(|number| number / limited::CELL == cell || step == 7);
                fleet.run(6.0 * rate, SIZE, seconds * SECOND);
                if step == 4 {
                    fleet.run(0.0, SIZE, 10 * SECOND);
                }
            }
            let most = fleet.most(fleet.now - 120 * SECOND);
            assert!(most <= 1.0, "{size} entries, slack {slack}, loss {loss}: {most:.2}");
        }
    }
}
