use crate::ConfigFaults;
use crate::ini::{Document, SectionReader};
use crate::request::parse_sha256;
use agatecourse_types::{NodeId, VmId, ZoneId};
use serde::Serialize;
use std::net::SocketAddr;

/// Settings of one entry node, from the node's own INI file.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct NodeSettings {
    /// Name of the node, unique in the deployment.
    pub name: NodeId,
    /// VM that the node runs on; the node's name unless set.
    pub vm: VmId,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Address that accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Address that accepts commands of operators.
    pub operator_address: SocketAddr,
    /// Address that accepts messages of other nodes.
    pub peer_address: SocketAddr,
    /// SHA-256 of the operators' token as 64 hexadecimal digits.
    pub operator_token_sha256: String,
    /// Peer addresses of the nodes to contact first when joining; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// Address of the table service, which stores the configuration and the journal.
    pub table_address: SocketAddr,
    /// Address of the object store; `None` when not configured.
    pub object_store_address: Option<SocketAddr>,
    /// Address of the weight store; `None` when not configured.
    pub weight_store_address: Option<SocketAddr>,
    /// Address of the VM list; `None` when not configured.
    pub vm_list_address: Option<SocketAddr>,
    /// Files with the certificates of the deployment keys that the node accepts, in PEM.
    pub deployment_certificates: Vec<String>,
    /// File with the node's certificate in PEM.
    pub node_certificate: String,
    /// File with the node's private key in PEM.
    pub node_key: String,
    /// File that receives history events as JSON lines, for tests.
    pub history_file: Option<String>,
}

impl NodeSettings {
    /// Parses settings and collects the faults of the whole file.
    ///
    /// # Errors
    ///
    /// Returns all faults, in the order of their lines, when there is at least one.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigFaults> {
        let mut document = Document::parse(file, text);
        for section in document.sections.clone() {
            if !["node", "platform", "peers", "keys"].contains(&section.header.as_str()) {
                let message = "unknown section; expected node, platform, peers or keys".to_string();
                document.add_fault(section.line, &section.header, message);
            }
        }
        let settings = Self::read(&mut document);
        document.finish(settings)
    }

    fn read(document: &mut Document) -> Self {
        let mut node = section_reader(document, "node");
        let name = node.required("name", "letters, digits, `-` and `_`", |text| {
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
            (!text.is_empty() && text.chars().all(is_allowed)).then(|| text.to_string())
        });
        let vm = node.optional_text("vm").unwrap_or_else(|| name.clone());
        let zone = node.text("zone", "the name of a zone");
        let caller_address = node.address("caller_address");
        let operator_address = node.address("operator_address");
        let peer_address = node.address("peer_address");
        let operator_token_sha256 =
            node.required("operator_token_sha256", "64 hexadecimal digits", parse_sha256);
        let history_file = node.optional_text("history_file");
        node.finish(
            "name, vm, zone, caller_address, operator_address, peer_address, \
             operator_token_sha256, history_file",
        );

        let mut platform = section_reader(document, "platform");
        let table_address = platform.address("table_address");
        let object_store_address = optional_address(&mut platform, "object_store_address");
        let weight_store_address = optional_address(&mut platform, "weight_store_address");
        let vm_list_address = optional_address(&mut platform, "vm_list_address");
        platform
            .finish("table_address, object_store_address, weight_store_address, vm_list_address");

        let mut peers = section_reader(document, "peers");
        let seeds = peers
            .optional("seeds", "IP addresses with ports, separated by commas", |text| {
                text.split(',').map(|item| item.trim().parse().ok()).collect()
            })
            .unwrap_or_default();
        peers.finish("seeds");

        let mut keys = section_reader(document, "keys");
        let deployment_certificates =
            keys.list("deployment_certificates", "one or two files, separated by commas");
        let node_certificate = keys.text("node_certificate", "a file");
        let node_key = keys.text("node_key", "a file");
        keys.finish("deployment_certificates, node_certificate, node_key");

        Self {
            name,
            vm,
            zone,
            caller_address,
            operator_address,
            peer_address,
            operator_token_sha256,
            seeds,
            table_address,
            object_store_address,
            weight_store_address,
            vm_list_address,
            deployment_certificates,
            node_certificate,
            node_key,
            history_file,
        }
    }
}

/// Returns a reader for the section with a header; a missing section reads as empty, so that its required keys are
/// reported.
fn section_reader<'a>(document: &'a mut Document, header: &str) -> SectionReader<'a> {
    let found = document.sections.iter().find(|section| section.header == header).cloned();
    let section = found.unwrap_or_else(|| crate::ini::Section {
        header: header.to_string(),
        kind: header.to_string(),
        name: None,
        line: 0,
        entries: Vec::new(),
    });
    SectionReader::new(document, section)
}

fn optional_address(reader: &mut SectionReader<'_>, key: &str) -> Option<SocketAddr> {
    reader.optional(key, "an IP address with a port as in 10.0.0.1:8080", |text| text.parse().ok())
}

#[cfg(test)]
mod tests;
