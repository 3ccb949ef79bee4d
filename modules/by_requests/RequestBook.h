#pragma once

#include <cstdint>
#include <utility>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/ClaimKey.h"
#include "by_schema/KeptAnswer.h"
#include "by_schema/RequestRow.h"

namespace by {

/// The requests that one node holds, and the answers that it keeps.
struct RequestBook
{
  /// Requests without an answer yet.
  absl::flat_hash_map<RequestId, RequestRow> mRows;
  /// The non-idempotent request that this node holds for each label.
  absl::btree_map<ClaimKey, RequestId> mByLabel;
  /// Requests that wait for their claim to appear in the log.
  absl::btree_set<RequestId> mClaiming;
  /// Proposed claims that are no longer needed. Each is released once it appears in the log.
  absl::btree_map<ClaimKey, RequestId> mClaimsToRelease;
  /// The time of the next check of each request.
  absl::btree_set<std::pair<Time, RequestId>> mNextChecks;
  /// Answers that are kept for repeated requests.
  absl::flat_hash_map<RequestId, KeptAnswer> mKeptAnswers;
  /// Kept answers by age.
  absl::btree_set<std::pair<Time, RequestId>> mKeptAnswersByAge;
  /// Total payload size of the kept answers, in bytes.
  std::int64_t mKeptBytes{ 0 };
  /// Remaining retry budget, in hundredths of a retry.
  std::int64_t mRetryCredit{ 1000 };
};

} // namespace by
