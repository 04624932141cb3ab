//! The two sample programs.

use elderworks_types::{Role, RunId};
use eyre::eyre;
use futures_util::future::try_join_all;
use serde_json::json;

use super::caller::Caller;

const CORRECTION_BUDGET: u64 = 20_000;
const MENU_BUDGET: u64 = 100_000;
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

/// A program that ran, and what its history should hold.
pub struct Played {
    /// Name of the program.
    pub program: &'static str,
    /// Its run.
    pub run: RunId,
    /// Its sub-agents.
    pub children: Vec<RunId>,
    /// Answers in the order in which the caller got them.
    pub answers: Vec<String>,
}

/// Reads a cadastral extract, drafts a correction and submits it once.
pub async fn boundary_correction(caller: &Caller) -> eyre::Result<Played> {
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
    Ok(Played {
        program,
        run,
        children: Vec::new(),
        answers: answers.into(),
    })
}

/// Reads a diet sheet, drafts seven days by sub-agents in parallel and orders once.
pub async fn weekly_menu(caller: &Caller) -> eyre::Result<Played> {
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
    Ok(Played {
        program,
        run,
        children,
        answers: answers.into(),
    })
}

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
