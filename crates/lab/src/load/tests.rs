//! Tests that plans are reproducible and have the requested rate.

use super::plan::LoadPlan;

#[test]
fn the_same_seed_gives_the_same_plan() {
    let text = |seed| format!("{:?}", LoadPlan::new(3.0, 50, seed));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

#[test]
fn programs_arrive_in_order_at_about_the_rate() {
    let plan = LoadPlan::new(10.0, 2_000, 1);
    let starts: Vec<_> = plan.programs.iter().map(|program| program.start).collect();
    assert!(starts.is_sorted());
    let seconds = starts.last().expect("programs").as_secs_f64();
    assert!((180.0..220.0).contains(&seconds), "{seconds}");
}
