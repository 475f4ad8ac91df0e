/// Smallest and largest capacity of a segment after the first.
const MIN_SEGMENT_BYTES: usize = 1024;
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// Body of a request in segments, which grows without being moved and never has much more capacity than bytes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct RequestBody {
    segments: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl RequestBody {
    /// Creates an empty body.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Appends bytes; empties `piece`, or keeps it as the first segment.
    pub(crate) fn append(&mut self, piece: &mut Vec<u8>) {
        self.length += piece.len();
        if self.segments.is_empty() && !piece.is_empty() {
            self.capacity += piece.capacity();
            self.segments.push(std::mem::take(piece));
            return;
        }
        let mut rest = &piece[..];
        while !rest.is_empty() {
            let spare = self.segments.last().map_or(0, |last| last.capacity() - last.len());
            if spare == 0 {
                let size = self.length.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
                let segment = Vec::with_capacity(size);
                self.capacity += segment.capacity();
                self.segments.push(segment);
                continue;
            }
            let (now, later) = rest.split_at(spare.min(rest.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            rest = later;
        }
        piece.clear();
    }

    /// Returns the number of bytes for which memory is allocated.
    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes from an offset to the end of their segment; `None` at the end of the body.
    pub(crate) fn bytes_from(&self, offset: usize) -> Option<&[u8]> {
        let mut start = 0;
        self.segments.iter().find_map(|segment| {
            let rest = segment.get(offset.checked_sub(start)?..).filter(|rest| !rest.is_empty());
            start += segment.len();
            rest
        })
    }

    /// Returns the bytes in order.
    pub(crate) fn segments(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.segments.iter().map(Vec::as_slice)
    }
}

impl From<Vec<u8>> for RequestBody {
    fn from(mut bytes: Vec<u8>) -> Self {
        let mut body = Self::new();
        body.append(&mut bytes);
        body
    }
}
