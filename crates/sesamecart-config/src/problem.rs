//! What is wrong with a sheet or a configuration, where, and what to do about it.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{
    CustomerId, EndpointId, FabricDomainId, FailureDomainId, GroupId, ModelId, ServiceId, VmId,
};

/// One thing that is wrong.
///
/// Checks return all problems of a run, so that planners don't mend a sheet one line at a time.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{place}: {value:?}: {fault}; {}", fault.remedy())]
#[serde(into = "ProblemReport")]
pub struct Problem {
    /// Where it is.
    pub place: Place,
    /// The value that can't be used.
    pub value: String,
    /// What is wrong with it.
    pub fault: Fault,
}

impl Problem {
    pub(crate) fn new(place: impl Into<Place>, value: impl ToString, fault: Fault) -> Self {
        Self {
            place: place.into(),
            value: value.to_string(),
            fault,
        }
    }
}

/// Where a problem is.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::From)]
pub enum Place {
    /// In a cell of the sheet.
    #[display("row {}, column {}", _0.row, _0.column)]
    Cell(Cell),
    /// In a field of the configuration or of the inventory.
    #[display("{_0}")]
    Field(Field),
}

/// A cell of the sheet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cell {
    /// The line in the file, the header's being 1.
    pub row: u64,
    /// The column's name.
    pub column: String,
}

/// A field of the configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{subject}, {name}")]
pub struct Field {
    /// What the field belongs to.
    pub subject: Subject,
    /// The field's name.
    pub name: &'static str,
}

/// What a field belongs to.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq)]
pub enum Subject {
    /// The configuration as a whole.
    #[display("configuration")]
    Configuration,
    /// A VM.
    #[display("VM {_0}")]
    Vm(VmId),
    /// A model.
    #[display("model {_0}")]
    Model(ModelId),
    /// A group.
    #[display("group {_0}")]
    Group(GroupId),
    /// A plain service.
    #[display("service {_0}")]
    Service(ServiceId),
    /// An endpoint.
    #[display("endpoint {_0}")]
    Endpoint(EndpointId),
    /// A customer.
    #[display("customer {_0}")]
    Customer(CustomerId),
}

impl Subject {
    pub(crate) const fn field(self, name: &'static str) -> Field {
        Field {
            subject: self,
            name,
        }
    }
}

/// What can be wrong.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// The file isn't text.
    #[display("the file is not UTF-8 text")]
    NotText,
    /// The reader of the file gave up.
    #[display("the row can't be read: {_0}")]
    Unreadable(String),
    /// A column is missing.
    #[display("the column is missing")]
    MissingColumn,
    /// A column stands twice.
    #[display("the column stands twice")]
    RepeatedColumn,
    /// A cell has no header.
    #[display("the cell lies beyond the last header")]
    NoHeader,
    /// A cell is empty.
    #[display("the cell is empty")]
    Empty,
    /// The sheet has no rows.
    #[display("the sheet has no rows")]
    NoRows,
    /// The value doesn't have the right form.
    #[display("{_0}")]
    Form(String),
    /// The date isn't one.
    #[display("this is not a date as YYYY-MM-DD")]
    Date,
    /// The rows don't agree on the date or number of the sheet.
    #[display("other rows say {_0:?}")]
    Disagrees(String),
    /// A name stands twice.
    #[display("the name stands twice, first in row {_0}")]
    RepeatedName(u64),
    /// An address stands twice.
    #[display("endpoint {_0} has the same address")]
    RepeatedAddress(EndpointId),
    /// A key hash stands twice.
    #[display("customer {_0} has the same key")]
    RepeatedKey(CustomerId),
    /// A VM is in two groups.
    #[display("the VM is in group {_0} already")]
    VmInTwoGroups(GroupId),
    /// A VM is in a group and runs a plain service.
    #[display("the VM is in group {_0}, so it can't run a plain service too")]
    VmInGroup(GroupId),
    /// A VM stands twice in a row.
    #[display("the VM stands twice in this row")]
    RepeatedVm,
    /// Nobody knows the VM.
    #[display("there is no such VM")]
    UnknownVm,
    /// Nobody knows the failure domain.
    #[display("there is no such failure domain")]
    UnknownFailureDomain,
    /// Nobody knows the fabric domain.
    #[display("there is no such fabric domain")]
    UnknownFabricDomain,
    /// Nobody knows the model.
    #[display("there is no such model")]
    UnknownModel,
    /// Nobody knows the service.
    #[display("there is no such service")]
    UnknownService,
    /// Nobody knows the customer.
    #[display("there is no such customer")]
    UnknownCustomer,
    /// Nobody knows the group.
    #[display("there is no such group")]
    UnknownGroup,
    /// Nobody knows the endpoint.
    #[display("there is no such endpoint")]
    UnknownEndpoint,
    /// A replica's VMs lie in several fabric domains.
    #[display("the replica spans fabric domains: {vm} lies in {found}, but others in {first}")]
    SpansFabricDomains {
        /// A VM that lies elsewhere.
        vm: VmId,
        /// Where it lies.
        found: FabricDomainId,
        /// Where the first VM lies.
        first: FabricDomainId,
    },
    /// A VM lies in another fabric domain than the row says.
    #[display("{vm} lies in fabric domain {found}")]
    OtherFabricDomain {
        /// The VM.
        vm: VmId,
        /// Where it lies.
        found: FabricDomainId,
    },
    /// A VM lies in another failure domain than the row says.
    #[display("{vm} lies in failure domain {found}")]
    OtherFailureDomain {
        /// The VM.
        vm: VmId,
        /// Where it lies.
        found: FailureDomainId,
    },
    /// A group doesn't have its full number of VMs.
    #[display("model {model} needs {needed} VMs, but the group has {found}")]
    WrongVmCount {
        /// The model.
        model: ModelId,
        /// How many it needs.
        needed: u32,
        /// How many there are.
        found: usize,
    },
    /// A plain service's process doesn't run on exactly one VM.
    #[display("a plain service runs on one VM, not on {_0}")]
    ServiceVms(usize),
    /// A group doesn't have exactly one endpoint.
    #[display("the group has {_0} endpoints and needs one")]
    GroupEndpoints(usize),
    /// A limit is zero.
    #[display("the limit must be at least 1")]
    Zero,
    /// The cold limit is above the warm one.
    #[display("the cold limit is above the warm one, {_0}")]
    ColdAboveWarm(u32),
    /// The customer may use nothing that the endpoint serves.
    #[display("the customer may not use {_0}")]
    CustomerMayNot(String),
    /// A customer has no endpoint for something that it may use.
    #[display("the customer has no endpoint for it")]
    CustomerWithoutEndpoint,
    /// An older sheet than the one in force.
    #[display("sheet {sheet} of {date} is in force already, so this one is old")]
    OldSheet {
        /// The date in force.
        date: String,
        /// The sheet in force.
        sheet: u32,
    },
    /// Another content under the number of the sheet in force.
    #[display("another sheet with this date and number is in force")]
    SameSheet,
    /// Most of the capacity would go at once.
    #[display("it would keep {kept} of {before} requests at once")]
    CapacityDrop {
        /// What would be kept.
        kept: u32,
        /// What is in force.
        before: u32,
    },
}

impl Fault {
    /// Returns what to do about it.
    #[must_use]
    pub const fn remedy(&self) -> &'static str {
        match self {
            Self::NotText => "save the sheet as CSV with UTF-8",
            Self::Unreadable(_) => "look for a quote that is not closed",
            Self::MissingColumn => "add the column to the header row",
            Self::RepeatedColumn => "keep one column of this name",
            Self::NoHeader => "give the column a header or clear the cell",
            Self::Empty => "fill the cell",
            Self::NoRows => "export the sheet with its rows",
            Self::Form(_) => "write it as docs/sheet.md shows",
            Self::Date => "write the date as YYYY-MM-DD, such as 2026-12-03",
            Self::Disagrees(_) => "use one date and one sheet number in all rows",
            Self::RepeatedName(_) => "rename or delete one of the two rows",
            Self::RepeatedAddress(_) => "give each endpoint its own address",
            Self::RepeatedKey(_) => "make a new key for one of the two customers",
            Self::VmInTwoGroups(_) | Self::VmInGroup(_) => "take the VM out of one of the two",
            Self::RepeatedVm => "name another VM",
            Self::UnknownVm => "correct the name or add the VM to the inventory",
            Self::UnknownFailureDomain => "correct the name or add the domain to the inventory",
            Self::UnknownFabricDomain => "correct the name or the VMs in the inventory",
            Self::UnknownModel => "correct the name or add the model to the inventory",
            Self::UnknownService => "correct the name or add the service to the inventory",
            Self::UnknownCustomer => "correct the name or add the customer to the inventory",
            Self::UnknownGroup | Self::UnknownEndpoint => "correct the name or add a row for it",
            Self::SpansFabricDomains { .. } => "choose VMs of one fabric domain",
            Self::OtherFabricDomain { .. } | Self::OtherFailureDomain { .. } => {
                "correct the domain or choose another VM"
            }
            Self::WrongVmCount { .. } => "name exactly that many VMs",
            Self::ServiceVms(_) => "write one row for each process, with one VM",
            Self::GroupEndpoints(_) => "give the group exactly one endpoint",
            Self::Zero => "write a whole number from 1",
            Self::ColdAboveWarm(_) => "lower the cold limit or raise the warm one",
            Self::CustomerMayNot(_) => {
                "allow it in the inventory or take the customer out of the row"
            }
            Self::CustomerWithoutEndpoint => {
                "add a row that serves it to this customer or take the right away"
            }
            Self::OldSheet { .. } => {
                "export today's sheet, or raise its number to go back on purpose"
            }
            Self::SameSheet => "raise the sheet number",
            Self::CapacityDrop { .. } => "check the sheet, or allow it with --allow-capacity-drop",
        }
    }
}

/// A problem as it is passed on in JSON.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{place}: {value:?}: {reason}; {remedy}")]
pub struct ProblemReport {
    /// Where it is, in words.
    pub place: String,
    /// The row, for a problem in a sheet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub row: Option<u64>,
    /// The column, for a problem in a sheet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<String>,
    /// The value that can't be used.
    pub value: String,
    /// What is wrong with it.
    pub reason: String,
    /// What to do about it.
    pub remedy: String,
}

impl From<Problem> for ProblemReport {
    fn from(problem: Problem) -> Self {
        let (row, column) = match &problem.place {
            Place::Cell(cell) => (Some(cell.row), Some(cell.column.clone())),
            Place::Field(_) => (None, None),
        };
        Self {
            place: problem.place.to_string(),
            row,
            column,
            value: problem.value,
            reason: problem.fault.to_string(),
            remedy: problem.fault.remedy().to_owned(),
        }
    }
}
