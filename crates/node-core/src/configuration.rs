//! Bringing the configuration in force to the parts that it governs.

use elderworks_execution::ExecutionSettings;

use crate::core::NodeCore;

impl NodeCore {
    /// Limits of execution: those of this process, where no `Configuration` sets another.
    pub(crate) fn execution_settings(&self) -> ExecutionSettings {
        let configured = self.control.settings();
        let mut execution = self.settings.execution.clone();
        if self.control.is_configured("call.maxAttempts") {
            execution.max_attempts = configured.max_attempts;
        }
        if self.control.is_configured("retry.budgetPercent") {
            execution.retry_percent = configured.retry_budget_percent;
        }
        if self.control.is_configured("call.earlierCallWait") {
            execution.earlier_call_wait = configured.earlier_call_wait;
        }
        if self.control.is_configured("admission.maxOpenCalls") {
            execution.max_open_calls = configured.max_open_calls as usize;
        }
        execution
    }

    /// Gives every partition followed here the limits in force.
    pub(crate) fn configure_partitions(&mut self) {
        let execution = self.execution_settings();
        for held in self.ownership.held.values_mut() {
            held.machine.configure(execution.clone());
        }
    }
}
