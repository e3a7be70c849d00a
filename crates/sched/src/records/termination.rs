//! Why an assignment ended.

/// Why an assignment ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminationReason {
    /// The task completed.
    Done,
    /// The task was stopped, or its gang broke up.
    Stopped,
    /// The machine did not accept the task.
    Rejected,
    /// The task failed.
    Error,
    /// The task is proven to have ended, but did not report a status.
    Lost,
    /// The task's gang was not complete in time.
    GangIncomplete,
}

impl TerminationReason {
    const ALL: [Self; 6] =
        [Self::Done, Self::Stopped, Self::Error, Self::Lost, Self::Rejected, Self::GangIncomplete];

    /// The code of the reason in messages between controllers.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Stopped => 1,
            Self::Error => 2,
            Self::Lost => 3,
            Self::Rejected => 4,
            Self::GangIncomplete => 5,
        }
    }

    /// The reason with a code; `None` if the code is unknown.
    pub fn from_code(code: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.code() == code)
    }
}
