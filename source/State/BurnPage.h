/// \file
/// The burn report as a web page.
#ifndef AMARANTH_STATE_BURNPAGE_H
#define AMARANTH_STATE_BURNPAGE_H

#include "State/BurnSummary.h"

#include <string>

namespace amaranth::state {

/// A self-contained HTML page with inline SVG plots; it loads nothing.
std::string toHtml(const BurnSummary &Summary);

} // namespace amaranth::state

#endif
