use agatecourse_platform::VmEntry;
use agatecourse_standin::{
    ObjectStoreSettings, Standin, TableSettings, VmListSettings, WeightStoreSettings,
};
use std::io;
use std::time::Duration;

/// Rate limit of the table and the object store in present deployments.
const READS_PER_S: u32 = 2_000;
/// Rate limit of the table and the object store in present deployments.
const WRITES_PER_S: u32 = 300;
/// Delay until a change shows in the VM list, as in present deployments.
const VM_LIST_LAG: Duration = Duration::from_secs(2);

/// Stand-ins for the services of the platform; dropping it stops them.
#[derive(Debug)]
pub(crate) struct PlatformServices {
    pub(crate) table: Standin,
    pub(crate) weight_store: Standin,
    object_store: Standin,
    pub(crate) vm_list: Standin,
}

impl PlatformServices {
    /// Starts all services on ephemeral ports; the VM list holds the VMs of the nodes.
    pub(crate) fn start(vms: &[VmEntry]) -> io::Result<Self> {
        let table = TableSettings::new().with_reads_per_s(READS_PER_S);
        let vm_list = VmListSettings::new().with_vms(vms.to_vec()).with_lag(VM_LIST_LAG);
        let object_store = ObjectStoreSettings::new().with_rates_per_s(READS_PER_S, WRITES_PER_S);
        Ok(Self {
            table: table.with_writes_per_s(WRITES_PER_S).start(Standin::EPHEMERAL)?,
            weight_store: WeightStoreSettings::new().start(Standin::EPHEMERAL)?,
            object_store: object_store.start(Standin::EPHEMERAL)?,
            vm_list: vm_list.start(Standin::EPHEMERAL)?,
        })
    }

    /// Returns the lines of the section `[platform]` in a node's settings file.
    pub(crate) fn settings_text(&self) -> String {
        format!(
            "table_address = {}\nobject_store_address = {}\nweight_store_address = {}\n\
             vm_list_address = {}\n",
            self.table.address(),
            self.object_store.address(),
            self.weight_store.address(),
            self.vm_list.address(),
        )
    }
}
