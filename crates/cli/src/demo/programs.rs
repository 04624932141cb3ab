//! The two sample programs of the demo.

use elderworks_types::{Role, RunId};
use eyre::eyre;
use futures_util::future::try_join_all;
use serde_json::json;

use super::caller::Caller;

/// Budget of a boundary correction, in credits.
const CORRECTION_BUDGET: u64 = 20_000;

/// Budget of a weekly menu, in credits.
const MENU_BUDGET: u64 = 100_000;

/// Budget of the sub-agent that plans one day, in credits.
const DAY_BUDGET: u64 = 6_000;

const DAYS: [&str; 7] = [
    "Monday",
    "Tuesday",
    "Wednesday",
    "Thursday",
    "Friday",
    "Saturday",
    "Sunday",
];

/// Completed program with the answers that its history must contain.
pub struct CompletedProgram {
    /// Name of the program resource.
    pub program: &'static str,
    /// Run of the program.
    pub run: RunId,
    /// Runs of its sub-agents.
    pub children: Vec<RunId>,
    /// Answers in the order in which the caller received them.
    pub answers: Vec<String>,
}

/// Looks up a cadastral extract, drafts a correction and submits it once.
pub async fn boundary_correction(caller: &Caller) -> eyre::Result<CompletedProgram> {
    let program = "boundary-correction";
    let run = caller.start_run(program, CORRECTION_BUDGET, None).await?;
    let parcel = json!({ "parcel": "061802_2.0007.114/3" });
    let extract = caller.look_up(run, "cadastre-lookup", parcel).await?;
    let draft = caller
        .ask(
            run,
            &[
                (
                    Role::System,
                    "You draft boundary corrections for subsidy declarations.",
                ),
                (
                    Role::User,
                    "Compare the extract with the declared parcel and draft a correction.",
                ),
            ],
        )
        .await?;
    let review = caller
        .ask(run, &[(Role::User, "Shorten it to what the agency needs.")])
        .await?;
    let correction = json!({ "parcel": "061802_2.0007.114/3", "text": review });
    let key = format!("{run}-submission");
    let receipt = caller
        .submit(run, "claim-submission", correction, &key)
        .await?;
    caller.end_run(run).await?;
    let answers = [extract, draft, review, receipt];
    Ok(CompletedProgram {
        program,
        run,
        children: Vec::new(),
        answers: answers.into(),
    })
}

/// Looks up a diet sheet, plans the seven days with parallel sub-agents and places one order.
pub async fn weekly_menu(caller: &Caller) -> eyre::Result<CompletedProgram> {
    let program = "weekly-menu";
    let run = caller.start_run(program, MENU_BUDGET, None).await?;
    let ward = json!({ "ward": "east", "week": 49 });
    let sheet = caller.look_up(run, "diet-sheet", ward).await?;
    let outline = caller
        .ask(
            run,
            &[
                (Role::System, "You plan menus for a care home."),
                (Role::User, "Outline a week against the diet sheet."),
            ],
        )
        .await?;
    let days = DAYS.map(|day| plan_day(caller, run, day, &sheet));
    let days = try_join_all(days).await?;
    let (children, plans): (Vec<RunId>, Vec<String>) = days.into_iter().unzip();
    let joined = plans.join("\n");
    let summary = caller
        .ask(
            run,
            &[(Role::User, &format!("Check the week as a whole:\n{joined}"))],
        )
        .await?;
    let order = json!({ "ward": "east", "week": 49, "menu": summary });
    let key = format!("{run}-order");
    let receipt = caller.submit(run, "diet-order", order, &key).await?;
    caller.end_run(run).await?;
    let answers = [sheet, outline, summary, receipt];
    Ok(CompletedProgram {
        program,
        run,
        children,
        answers: answers.into(),
    })
}

/// Plans one day with a sub-agent; returns its run and the plan.
async fn plan_day(
    caller: &Caller,
    parent: RunId,
    day: &str,
    sheet: &str,
) -> eyre::Result<(RunId, String)> {
    let run = caller
        .start_run("weekly-menu", DAY_BUDGET, Some(parent))
        .await?;
    let instructions = format!("You plan one day's meals. Diet sheet: {sheet}");
    let question = format!("Plan {day}.");
    let plan = caller
        .ask(
            run,
            &[(Role::System, &instructions), (Role::User, &question)],
        )
        .await?;
    if plan.is_empty() {
        return Err(eyre!("the plan for {day} is empty"));
    }
    caller.end_run(run).await?;
    Ok((run, plan))
}
