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
  add_test(NAME ${Name} COMMAND ${Name})
  set_tests_properties(${Name} PROPERTIES TIMEOUT ${Timeout})
endfunction()

amaranth_test(support_test Support 60 amaranth_support)
amaranth_test(transport_test Transport 120 amaranth_transport)
amaranth_test(state_test State 60 amaranth_state)
amaranth_test(protocol_test Protocol 120 amaranth_protocol)
amaranth_test(coordination_test Coordination 180 amaranth_coordination)
amaranth_test(serving_test Serving 120 amaranth_serving)
amaranth_test(platform_test Platform 60 amaranth_platform)
amaranth_test(integration_test Integration 600 amaranth_coordination)
if(TARGET integration_test)
  add_dependencies(integration_test amaranthd amaranthctl amaranth-standin)
  # The tests compute the expected answers of the stand-ins with these.
  target_sources(integration_test PRIVATE source/Standin/DeterministicText.cpp
    source/Standin/DeterministicRetrieval.cpp)
  set_tests_properties(integration_test PROPERTIES RUN_SERIAL TRUE)
endif()

# amaranthctl is a program without a library, so its test compiles its sources.
amaranth_test(control_test Control 120 amaranth_coordination PkgConfig::POPT)
file(GLOB ControlSources CONFIGURE_DEPENDS source/Control/*.cpp)
list(FILTER ControlSources EXCLUDE REGEX "/Main\\.cpp$")
target_sources(control_test PRIVATE ${ControlSources})
