use crate::process::key_error::{
    DeploymentKeyExistsSnafu, FileSnafu, InvalidNameSnafu, NoDeploymentKeySnafu,
};
use crate::process::node_keys::read_file;
use crate::{CertificateSummary, DeploymentKey, KeyError};
use snafu::{OptionExt, ResultExt, ensure};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

const CERTIFICATE: &str = "pem";
const DEPLOYMENT_PREFIX: &str = "deployment-";
const PRIVATE_KEY: &str = "key";

/// Directory with the deployment keys and node certificates of one deployment, in PEM files.
///
/// Deployment key `n` is in `deployment-<n>.pem` and `deployment-<n>.key`; the highest number is the current
/// one. A node's certificate is in `<node>.pem` and its key in `<node>.key`. Existing deployment keys are
/// never overwritten. Private keys are readable by their owner only.
///
/// Rotation takes three steps: [`KeyStore::rotate_deployment_key`], then give both deployment certificates to all nodes,
/// then [`KeyStore::issue_node_certificate`] each node's certificate anew and remove the old deployment certificate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyStore {
    directory: PathBuf,
}

impl KeyStore {
    /// Creates a store over a directory, which is created with the first key.
    pub fn new(directory: impl Into<PathBuf>) -> Self {
        Self { directory: directory.into() }
    }

    /// Makes the first deployment key and returns the file of its certificate.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::DeploymentKeyExists`] when there is a deployment key, or another [`KeyError`].
    pub fn create_deployment_key(
        &self,
        deployment: &str,
        valid_days: u32,
    ) -> Result<PathBuf, KeyError> {
        if let Some(number) = self.numbers()?.last() {
            return DeploymentKeyExistsSnafu { path: self.deployment_file(*number, CERTIFICATE) }
                .fail();
        }
        self.write_deployment(deployment, 1, valid_days)
    }

    /// Adds a deployment key beside the current one and returns the file of its certificate.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::NoDeploymentKey`] before the first key, or another [`KeyError`].
    pub fn rotate_deployment_key(
        &self,
        deployment: &str,
        valid_days: u32,
    ) -> Result<PathBuf, KeyError> {
        self.write_deployment(deployment, self.current()? + 1, valid_days)
    }

    /// Issues a certificate for a node under deployment key `number`, or under the current one.
    ///
    /// Returns the files of the certificate and of the private key; earlier ones are replaced.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when the deployment key is missing or a file can't be written.
    pub fn issue_node_certificate(
        &self,
        node: &str,
        number: Option<u32>,
        valid_days: u32,
    ) -> Result<(PathBuf, PathBuf), KeyError> {
        // Such a name would replace the files of a deployment key.
        ensure!(!node.starts_with(DEPLOYMENT_PREFIX), InvalidNameSnafu { name: node });
        let number = number.map_or_else(|| self.current(), Ok)?;
        let certificate = self.deployment_file(number, CERTIFICATE);
        ensure!(certificate.exists(), NoDeploymentKeySnafu { path: &self.directory, number });
        let key = self.deployment_file(number, PRIVATE_KEY);
        let origin = certificate.display().to_string();
        let key = DeploymentKey::from_pem(&read_file(&certificate)?, &read_file(&key)?, &origin)?;
        let issued = key.issue_certificate(node, valid_days)?;
        let files = (self.file(node, CERTIFICATE), self.file(node, PRIVATE_KEY));
        replace_file(&files.1, &issued.key_pem)?;
        replace_file(&files.0, &issued.certificate_pem)?;
        Ok(files)
    }

    /// Describes all certificates of the directory, ordered by file name.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when the directory or a certificate can't be read.
    pub fn list_certificates(&self) -> Result<Vec<(PathBuf, CertificateSummary)>, KeyError> {
        let read = |path: PathBuf| {
            let summary =
                CertificateSummary::from_pem(&read_file(&path)?, &path.to_string_lossy())?;
            Ok((path, summary))
        };
        self.certificates()?.into_iter().map(read).collect()
    }

    fn current(&self) -> Result<u32, KeyError> {
        let path = &self.directory;
        self.numbers()?.last().copied().context(NoDeploymentKeySnafu { path, number: 1_u32 })
    }

    fn numbers(&self) -> Result<Vec<u32>, KeyError> {
        if !self.directory.exists() {
            return Ok(Vec::new());
        }
        let number = |path: PathBuf| {
            path.file_stem()?.to_str()?.strip_prefix(DEPLOYMENT_PREFIX)?.parse::<u32>().ok()
        };
        let mut numbers: Vec<u32> = self.certificates()?.into_iter().filter_map(number).collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn certificates(&self) -> Result<Vec<PathBuf>, KeyError> {
        let path = &self.directory;
        let entries = fs::read_dir(path).context(FileSnafu { action: "list", path })?;
        let mut paths: Vec<PathBuf> = entries
            .filter_map(|entry| entry.ok().map(|entry| entry.path()))
            .filter(|path| path.extension().is_some_and(|extension| extension == CERTIFICATE))
            .collect();
        paths.sort();
        Ok(paths)
    }

    fn write_deployment(
        &self,
        deployment: &str,
        number: u32,
        valid_days: u32,
    ) -> Result<PathBuf, KeyError> {
        let key = DeploymentKey::generate(deployment, number, valid_days)?;
        let path = &self.directory;
        fs::create_dir_all(path).context(FileSnafu { action: "create", path })?;
        let certificate = self.deployment_file(number, CERTIFICATE);
        create_file(&self.deployment_file(number, PRIVATE_KEY), key.key_pem())?;
        create_file(&certificate, key.certificate_pem())?;
        Ok(certificate)
    }

    fn deployment_file(&self, number: u32, extension: &str) -> PathBuf {
        self.file(&format!("{DEPLOYMENT_PREFIX}{number}"), extension)
    }

    fn file(&self, stem: &str, extension: &str) -> PathBuf {
        self.directory.join(format!("{stem}.{extension}"))
    }
}

/// Writes beside the file and renames, so that a node that starts meanwhile reads no half-written key.
fn replace_file(path: &Path, text: &str) -> Result<(), KeyError> {
    let mut staged = path.as_os_str().to_owned();
    staged.push(".new");
    let staged = PathBuf::from(staged);
    if staged.exists() {
        fs::remove_file(&staged).context(FileSnafu { action: "replace", path: &staged })?;
    }
    create_file(&staged, text)?;
    fs::rename(&staged, path).context(FileSnafu { action: "replace", path })
}

fn create_file(path: &Path, text: &str) -> Result<(), KeyError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(0o600);
    let mut file = options.open(path).context(FileSnafu { action: "create", path })?;
    file.write_all(text.as_bytes()).context(FileSnafu { action: "write", path })
}
