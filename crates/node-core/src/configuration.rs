//! Applies the current `Configuration` resource to the partitions.

use elderworks_execution::ExecutionSettings;

use crate::core::NodeCore;

impl NodeCore {
    /// Returns the execution limits: those of the `Configuration` where it sets them, otherwise those of the
    /// process.
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

    /// Applies the current limits to all followed partitions.
    pub(crate) fn configure_partitions(&mut self) {
        let execution = self.execution_settings();
        for followed in self.ownership.followed.values_mut() {
            followed.machine.configure(execution.clone());
        }
    }
}
