#include "State/BurnPage.h"

#include <algorithm>
#include <cstdio>
#include <string_view>

namespace amaranth::state {

namespace {

constexpr double PlotWidth = 480;
constexpr double PlotHeight = 60;
/// Burn rates above this are drawn at the top of the plot.
constexpr double PlotMaxBurn = 10;

constexpr const char *Style =
    "body{font:14px sans-serif;margin:2em;color:#222}"
    "table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:left;"
    "border-bottom:1px solid #ddd}.bad{color:#b00020;font-weight:bold}"
    "svg{background:#f6f6f6}";

std::string escape(std::string_view Text) {
  std::string Escaped;
  for (char C : Text) {
    if (C == '&')
      Escaped += "&amp;";
    else if (C == '<')
      Escaped += "&lt;";
    else if (C == '>')
      Escaped += "&gt;";
    else if (C == '"')
      Escaped += "&quot;";
    else
      Escaped.push_back(C);
  }
  return Escaped;
}

std::string fixed(double Value, int Decimals = 2) {
  constexpr std::size_t LongestNumber = 64;
  char Buffer[LongestNumber];
  std::snprintf(Buffer, sizeof(Buffer), "%.*f", Decimals, Value);
  return Buffer;
}

std::string cell(const std::string &Text, bool Bad = false) {
  return (Bad ? "<td class=\"bad\">" : "<td>") + escape(Text) + "</td>";
}

std::string rectangle(double X, double Y, double Width, double Height,
                      const char *Color) {
  return "<rect x=\"" + fixed(X) + "\" y=\"" + fixed(Y) + "\" width=\"" +
         fixed(Width) + "\" height=\"" + fixed(Height) + "\" fill=\"" + Color +
         "\"/>";
}

double burnOf(const BurnPoint &Point, const Objective &Goal) {
  if (Point.Accepted_ == 0)
    return 0;
  double Missed =
      static_cast<double>(Point.Missed_) / static_cast<double>(Point.Accepted_);
  return Missed / (1 - Goal.Attainment_);
}

/// Burn rate over time, with a line where the objective is just met.
std::string historyPlot(const BurnRow &Row) {
  std::string Plot = "<svg width=\"" + fixed(PlotWidth, 0) + "\" height=\"" +
                     fixed(PlotHeight, 0) + "\" role=\"img\">";
  double Step = PlotWidth / static_cast<double>(
                                std::max<std::size_t>(Row.History_.size(), 1));
  for (std::size_t I = 0; I < Row.History_.size(); ++I) {
    double Burn = burnOf(Row.History_[I], Row.Objective_);
    double Height = std::min(Burn / PlotMaxBurn, 1.0) * PlotHeight;
    if (Height > 0)
      Plot += rectangle(static_cast<double>(I) * Step, PlotHeight - Height,
                        Step, Height, Burn > 1 ? "#b00020" : "#2a6f97");
  }
  double Limit = PlotHeight * (1 - 1 / PlotMaxBurn);
  Plot += "<line x1=\"0\" x2=\"" + fixed(PlotWidth, 0) + "\" y1=\"" +
          fixed(Limit) + "\" y2=\"" + fixed(Limit) +
          "\" stroke=\"#555\" stroke-dasharray=\"4 3\"/></svg>";
  return Plot;
}

/// One bar for each stage, as long as its part of the budget spent.
std::string stagePlot(const BurnRow &Row) {
  constexpr double BarHeight = 18;
  constexpr double TextOffset = 13;
  double Height = BarHeight * static_cast<double>(Row.Stages_.size());
  std::string Plot = "<svg width=\"" + fixed(PlotWidth, 0) + "\" height=\"" +
                     fixed(Height, 0) + "\" role=\"img\">";
  for (std::size_t I = 0; I < Row.Stages_.size(); ++I) {
    const StageBurn &Stage = Row.Stages_[I];
    double Y = BarHeight * static_cast<double>(I);
    Plot += rectangle(0, Y + 1, Stage.BudgetShare_ * PlotWidth, BarHeight - 2,
                      "#e9a23b");
    Plot += "<text x=\"4\" y=\"" + fixed(Y + TextOffset) +
            "\" font-size=\"12\">" + escape(Stage.Stage_) + " " +
            fixed(Stage.BudgetShare_ * 100, 0) + " %, " +
            std::to_string(Stage.OverShare_.count()) + " ms over</text>";
  }
  return Plot + "</svg>";
}

std::string overviewRow(const BurnRow &Row) {
  return "<tr>" + cell(Row.Service_) + cell(Row.Account_) +
         cell(fixed(Row.Objective_.Attainment_ * 100) + " %") +
         cell(std::to_string(Row.Long_.Accepted_)) +
         cell(std::to_string(Row.Long_.Refused_)) +
         cell(fixed(Row.Long_.Attainment_ * 100) + " %",
              Row.Long_.Attainment_ < Row.Objective_.Attainment_) +
         cell(fixed(Row.Short_.BurnRate_), Row.Short_.BurnRate_ > 1) +
         cell(fixed(Row.Long_.BurnRate_), Row.Long_.BurnRate_ > 1) +
         cell(fixed(Row.ShortRequests_.BurnRate_),
              Row.ShortRequests_.BurnRate_ > 1) +
         cell(describeExhaustion(Row)) + "</tr>";
}

std::string detail(const BurnRow &Row) {
  std::string Text = "<h2>" + escape(Row.Service_ + " / " + Row.Account_) +
                     "</h2><p>Burn rate over the long window; the line marks "
                     "1.</p>" +
                     historyPlot(Row);
  if (!Row.Stages_.empty())
    Text += "<p>Error budget spent by stage.</p>" + stagePlot(Row);
  return Text;
}

} // namespace

std::string toHtml(const BurnSummary &Summary) {
  std::string Page =
      "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>Burn report</title><style>";
  Page += Style;
  Page += "</style></head><body><h1>Burn report of " + escape(Summary.Host_) +
          "</h1><table><tr><th>Service</th><th>Account</th><th>Objective</th>"
          "<th>Accepted</th><th>Refused</th><th>Attainment</th>"
          "<th>Burn 5 min</th><th>Burn 1 h</th><th>Short burn</th>"
          "<th>Exhausted in</th></tr>";
  for (const BurnRow &Row : Summary.Rows_)
    Page += overviewRow(Row);
  Page += "</table>";
  for (const BurnRow &Row : Summary.Rows_)
    if (Row.Long_.Missed_ > 0)
      Page += detail(Row);
  return Page + "</body></html>\n";
}

} // namespace amaranth::state
