# One Catch2 program per library, and one that tests the real processes together.
add_library(amaranth_test_main STATIC tests/Main.cpp)
target_link_libraries(amaranth_test_main PUBLIC amaranth_support)

function(amaranth_test Name Folder Timeout)
  file(GLOB_RECURSE Sources CONFIGURE_DEPENDS tests/${Folder}/*.cpp)
  if(NOT Sources)
    return()
  endif()
  add_executable(${Name} ${Sources})
  target_include_directories(${Name} PRIVATE tests)
  target_link_libraries(${Name} PRIVATE amaranth_test_main ${ARGN})
  target_compile_definitions(${Name} PRIVATE AMARANTH_BINARY_DIR="${CMAKE_BINARY_DIR}"
    AMARANTH_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${Name} COMMAND ${Name} ${AMARANTH_TEST_CASES})
  set_tests_properties(${Name} PROPERTIES TIMEOUT ${Timeout})
endfunction()

amaranth_test(support_test Support 60 amaranth_support)
amaranth_test(transport_test Transport 120 amaranth_transport)
amaranth_test(state_test State 60 amaranth_state)
amaranth_test(protocol_test Protocol 120 amaranth_protocol)
amaranth_test(coordination_test Coordination 180 amaranth_coordination)
amaranth_test(serving_test Serving 120 amaranth_serving)
amaranth_test(platform_test Platform 60 amaranth_platform)
# The cases on the platform and the others run beside each other: both mostly
# wait, and one after the other they take too long for CI.
set(AMARANTH_TEST_CASES "~[.]~platform: *")
amaranth_test(integration_test Integration 600 amaranth_coordination)
unset(AMARANTH_TEST_CASES)
if(TARGET integration_test)
  add_test(NAME integration_platform_test COMMAND integration_test "~[known-red]platform: *")
  set_tests_properties(integration_platform_test PROPERTIES TIMEOUT 600)
  add_dependencies(integration_test amaranthd amaranthctl amaranth-standin)
  # The tests compute the expected answers of the stand-ins with these.
  target_sources(integration_test PRIVATE source/Standin/DeterministicText.cpp
    source/Standin/DeterministicRetrieval.cpp)
endif()

# amaranthctl is a program without a library, so its test compiles its sources.
amaranth_test(control_test Control 120 amaranth_coordination PkgConfig::POPT)
file(GLOB ControlSources CONFIGURE_DEPENDS source/Control/*.cpp)
list(FILTER ControlSources EXCLUDE REGEX "/Main\\.cpp$")
target_sources(control_test PRIVATE ${ControlSources})
