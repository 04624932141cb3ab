//! What a program's limits do to its runs.

use serde_json::json;

use crate::caller::Caller;
use crate::fleet::Fleet;

/// `runBudget` of the program in the example resources.
const PROGRAM_BUDGET: u64 = 50_000;

#[actix_rt::test]
async fn a_run_may_spend_no_more_than_its_program_allows() {
    let fleet = Fleet::start().await;
    let caller = Caller::new(fleet.sidecar_url(0), "lublin-example-token");
    let cases = [
        (json!(null), PROGRAM_BUDGET),
        (json!(PROGRAM_BUDGET + 1), PROGRAM_BUDGET),
        (json!(100), 100),
    ];
    for (asked, expected) in cases {
        let run = caller.start_run("boundary-correction", asked).await;
        assert_eq!(caller.budget(&run).await, expected);
    }
}
