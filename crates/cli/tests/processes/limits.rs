//! Effects of a program's limits on its runs.

use serde_json::json;

use crate::caller::Caller;
use crate::fleet::Fleet;

/// `runBudget` of the program in the example resources, in credits.
const PROGRAM_BUDGET: u64 = 50_000;

#[actix_rt::test]
async fn run_budget_is_capped_by_its_program() {
    let fleet = Fleet::start().await;
    let caller = Caller::new(fleet.sidecar_url(0), "lublin-example-token");
    let cases = [
        (json!(null), PROGRAM_BUDGET),
        (json!(PROGRAM_BUDGET + 1), PROGRAM_BUDGET),
        (json!(100), 100),
    ];
    for (requested, expected) in cases {
        let run = caller.start_run("boundary-correction", requested).await;
        assert_eq!(caller.budget(&run).await, expected);
    }
}
